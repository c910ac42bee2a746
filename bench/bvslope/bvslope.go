// Package bvslope measures how the cost of one node depends on the size of its
// environment, and fits a line to the measurements of each kind of size.
//
// # Usage
//
//	for _, s := range bvslope.All() {
//		points, err := s.Run()
//		slope, constant := bvslope.Fit(points, func(p bvslope.Point) float64 { return p.Sent })
//	}
package bvslope

import (
	"runtime"
	"time"

	"balsamvane/bench/bvcost"
	"balsamvane/bench/bvgroup"
	"balsamvane/bench/bvload"
	"balsamvane/core/bvconfig"
)

// Point is the cost of one node at one size, averaged over the nodes.
type Point struct {
	Size         float64
	Sent         float64 // Control bytes a second, without probes.
	Received     float64 // Control bytes a second, without probes.
	Probes       float64 // Upstreams probed.
	CPU          float64 // Microseconds a second for all events except packets.
	Heap         float64 // Bytes.
	Config       float64 // Bytes of the published configuration.
	InForceAfter float64 // Seconds until a change is in force on all nodes.
	Records      float64 // Exceptions that a joining node received.
	ActiveAfter  float64 // Seconds until a replaced node is active.
}

// Series is a series of measurements at different values of one size.
type Series struct {
	Name  string
	Sizes []float64
	run   func(size float64) (Point, error)
}

// Run measures all sizes.
func (s Series) Run() ([]Point, error) {
	var out []Point
	for _, n := range s.Sizes {
		p, err := s.run(n)
		if err != nil {
			return nil, err
		}
		p.Size = n
		out = append(out, p)
	}
	return out, nil
}

// Fit fits a line to the values of the points by least squares.
func Fit(points []Point, value func(Point) float64) (slope, constant float64) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := p.Size, value(p)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// All returns all series.
func All() []Series {
	return []Series{
		{"peers in the group", []float64{8, 16, 32, 64, 128}, func(n float64) (Point, error) {
			return measureIdle(bvgroup.Shape{Zones: 4, Balancers: int(n), Upstreams: []int{14, 4}})
		}},
		{"upstreams of one service", []float64{16, 64, 256, 1024}, func(n float64) (Point, error) {
			return measureIdle(bvgroup.Shape{Zones: 4, Balancers: 8, Upstreams: []int{int(n)}})
		}},
		{"services of 9 upstreams", []float64{1, 8, 32, 128}, func(n float64) (Point, error) {
			s := bvgroup.Shape{Zones: 4, Balancers: 8}
			for range int(n) {
				s.Upstreams = append(s.Upstreams, 9)
			}
			return measureIdle(s)
		}},
		{"changes an hour", []float64{0, 60, 180, 360, 720}, measureChanges},
		{"open flows", []float64{30_000, 100_000, 300_000}, measureOpenFlows},
		{"exceptions of a joining node", []float64{2, 8, 32}, measureJoins},
	}
}

// startupTime is the virtual time from the start of a group to a measurement,
// and measuredTime that of the measurement.
const (
	startupTime  = 20 * time.Second
	measuredTime = 60 * time.Second
)

type totals struct {
	sent, received int
	busy           time.Duration
}

func sumTraffic(g *bvgroup.Group) (t totals) {
	for _, m := range g.Members() {
		t.sent += m.Traffic.Sent.Control()
		t.received += m.Traffic.Received.Control()
		t.busy += m.Busy
	}
	return t
}

// measurePoint measures a group while run advances the virtual time by d.
func measurePoint(g *bvgroup.Group, d time.Duration, run func(time.Duration)) Point {
	before := sumTraffic(g)
	run(d)
	after := sumTraffic(g)
	n := float64(len(g.Members())) * d.Seconds()
	p := Point{
		Sent: float64(after.sent-before.sent) / n, Received: float64(after.received-before.received) / n,
		CPU: float64((after.busy - before.busy).Microseconds()) / n, Config: float64(g.ConfigBytes()),
	}
	for _, m := range g.Members() {
		p.Probes += float64(m.Probes()) / float64(len(g.Members()))
	}
	return p
}

// measureIdle measures a group without flows, and then how long a change takes
// to be in force.
func measureIdle(s bvgroup.Shape) (Point, error) {
	before := bvcost.Heap()
	g, err := bvgroup.New(s)
	if err != nil {
		return Point{}, err
	}
	defer g.Close()
	g.Run(startupTime)
	p := measurePoint(g, measuredTime, g.Run)
	if err := toggleDraining(g); err != nil {
		return p, err
	}
	p.InForceAfter = timeToInForce(g)
	// Each node's router keeps the views that were replaced during the start,
	// for the opening window and then until the next change. The change above has
	// removed them, so that they do not count as heap.
	g.Run(startupTime)
	p.Heap = float64(bvcost.Heap()-before) / float64(len(g.Members()))
	runtime.KeepAlive(g)
	return p, g.Err()
}

// timeToInForce returns the virtual seconds until all nodes run the published
// configuration, or -1 if they do not within a minute.
func timeToInForce(g *bvgroup.Group) float64 {
	for since := time.Duration(0); since < time.Minute; since += 100 * time.Millisecond {
		if inForce(g) {
			return since.Seconds()
		}
		g.Tick()
	}
	return -1
}

func inForce(g *bvgroup.Group) bool {
	for _, m := range g.Members() {
		if c, _ := m.Node.Config(); c.Version != g.Config().Version {
			return false
		}
	}
	return true
}

// toggleDraining starts or ends the draining of the first upstream.
func toggleDraining(g *bvgroup.Group) error {
	return g.Change(func(c *bvconfig.Config) { c.Upstreams[0].Leaving = !c.Upstreams[0].Leaving })
}

// measureChanges measures a group of 8 whose configuration changes perHour times
// an hour. Peers request no records, since there are no flows.
func measureChanges(perHour float64) (Point, error) {
	g, err := bvgroup.New(bvgroup.Shape{Zones: 4, Balancers: 8, Upstreams: []int{14, 4}})
	if err != nil {
		return Point{}, err
	}
	defer g.Close()
	g.Run(startupTime)
	p := measurePoint(g, measuredTime, func(d time.Duration) {
		n := perHour * d.Hours()
		if n == 0 {
			g.Run(d)
			return
		}
		for range int(n) {
			if err == nil {
				err = toggleDraining(g)
			}
			g.Run(time.Duration(float64(d) / n))
		}
	})
	if err != nil {
		return p, err
	}
	return p, g.Err()
}

// measureOpenFlows measures the heap of one node with n flows, and the other
// costs in a group of 8 with a tenth of the flows at each node. More flows do
// not fit in the memory that is available beside the generator.
func measureOpenFlows(n float64) (Point, error) {
	perFlow, err := bvcost.BytesPerFlow(int(n))
	if err != nil {
		return Point{}, err
	}
	g, err := bvgroup.New(bvgroup.Shape{Zones: 4, Balancers: 8, Upstreams: []int{14, 4}, Connections: 1 << 30})
	if err != nil {
		return Point{}, err
	}
	defer g.Close()
	g.Run(startupTime)
	const opening = 10 * time.Second
	l := bvload.New(g, bvload.Options{
		Seed: 1, FlowsPerSecond: n / 10 * 8 / opening.Seconds(), LongShare: 1, LongLife: time.Hour, DataInterval: 10 * time.Minute,
	})
	l.Run(opening)
	p := measurePoint(g, measuredTime, g.Run)
	p.Heap = perFlow * n
	return p, g.Err()
}

// measureJoins measures how long a replaced node takes to become active. The
// size is the duration of the load before, with 1,500 new flows a second for
// each balancer.
func measureJoins(loadSeconds float64) (Point, error) {
	g, err := bvgroup.New(bvgroup.Shape{Zones: 4, Balancers: 8, Upstreams: []int{14, 4}})
	if err != nil {
		return Point{}, err
	}
	defer g.Close()
	g.Run(startupTime)
	l := bvload.New(g, bvload.Options{Seed: 1, FlowsPerSecond: 1500 * 8})
	l.Run(time.Duration(loadSeconds * float64(time.Second)))
	g.Kill(0)
	g.Run(3 * time.Second)
	g.StartNode(0)
	before := sumTraffic(g)
	var p Point
	for p.ActiveAfter < 600 && g.Members()[0].Node.Status(g.Now()).State != "active" {
		g.Tick()
		p.ActiveAfter += 0.1
	}
	after := sumTraffic(g)
	p.Sent = float64(after.sent-before.sent) / 8 / p.ActiveAfter
	p.Received = float64(after.received-before.received) / 8 / p.ActiveAfter
	p.CPU = float64((after.busy - before.busy).Microseconds()) / 8 / p.ActiveAfter
	p.Records = float64(g.Members()[0].Node.Status(g.Now()).Flows)
	return p, g.Err()
}
