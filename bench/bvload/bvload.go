// Package bvload generates the flows of a group with a fixed seed and counts
// their outcomes.
//
// A flow opens with a SYN, continues with data packets and ends with a FIN. The
// SYN is retransmitted after 1, 2 and 4 s if no upstream receives it. Each
// packet goes to a balancer chosen at random.
//
// # Usage
//
//	l := bvload.New(group, bvload.Options{Seed: 1, FlowsPerSecond: 24_000})
//	l.Run(30 * time.Second)
//	fmt.Println(l.Counts.Broken, l.Imbalance())
package bvload

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"balsamvane/bench/bvgroup"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
)

// Options describe the workload. Zero values are replaced by the defaults in
// the comments.
type Options struct {
	Seed           uint64
	FlowsPerSecond float64       // Rate of new flows of the whole group.
	LongShare      float64       // Share of the flows that are long-lived; 0.01.
	ShortLife      time.Duration // Mean life of a short flow, exponentially distributed; 400 ms.
	LongLife       time.Duration // Mean life of a long flow, exponentially distributed; 30 s.
	DataInterval   time.Duration // Time between data packets of a long flow; 5 s.
	Shares         []float64     // Share of each service in the flows; 0.75 and 0.25.
}

func (o Options) withDefaults() Options {
	if o.LongShare == 0 {
		o.LongShare = 0.01
	}
	if o.ShortLife == 0 {
		o.ShortLife = 400 * time.Millisecond
	}
	if o.LongLife == 0 {
		o.LongLife = 30 * time.Second
	}
	if o.DataInterval == 0 {
		o.DataInterval = 5 * time.Second
	}
	if o.Shares == nil {
		o.Shares = []float64{0.75, 0.25}
	}
	return o
}

// Counts are totals since the start.
type Counts struct {
	Opened  int // First opening packets.
	Refused int // Flows that were refused.
	Delayed int // First opening packets that reached no upstream and were not refused.
	Failed  int // Flows abandoned after the fourth opening packet.
	Placed  int // Flows whose opening reached an upstream.
	// Reasons counts the dropped and refused openings by reason.
	Reasons map[string]int
	// Exceptions is the number of placed flows whose opening carried a record.
	Exceptions int
	Packets    int // Data and closing packets.
	Dropped    int // Packets among these that reached no upstream.
	Broken     int // Flows with a packet that reached another upstream.
	Abandoned  int // Flows of a zone that was taken out of service.
	Hops       int // Number of balancers that handled a packet, summed over all packets.
}

// Flow is a flow of the generator.
type Flow struct {
	Tuple      bvflow.Tuple
	Upstream   bvconfig.UpstreamID // 0 until it is placed.
	Service    int
	Exception  bool
	Broken     bool
	OpenedTick int // Tick of the first packet.
	closeTick  int // Tick of the closing packet.
	attempts   int // Opening packets sent.
	active     bool
}

// Observer is notified when flows are placed and closed, and of each tick. The
// baselines implement it.
type Observer interface {
	Opened(f *Flow)
	Closed(f *Flow)
	Tick()
}

// Load is a running workload.
type Load struct {
	Counts   Counts
	Observer Observer // May be nil.

	group      *bvgroup.Group
	options    Options
	random     *rand.Rand
	flows      []*Flow
	free       []*Flow
	events     [][]*Flow // Ring of the flows to handle in each tick.
	tick       int
	flowNumber uint32
	dueFlows   float64
	openFlows  map[bvconfig.UpstreamID]int
}

// ringTicks is the number of ticks that [Load] can schedule ahead, about 819 s. It
// limits the life of a flow.
const ringTicks = 1 << 13

// New returns a workload for a group.
func New(g *bvgroup.Group, o Options) *Load {
	return &Load{
		group: g, options: o.withDefaults(), random: rand.New(rand.NewPCG(o.Seed, 1)),
		events: make([][]*Flow, ringTicks), openFlows: map[bvconfig.UpstreamID]int{},
		Counts: Counts{Reasons: map[string]int{}},
	}
}

// Run generates the packets of d and advances the group's virtual time by it.
func (l *Load) Run(d time.Duration) {
	for end := l.group.Now().Add(d); l.group.Now().Before(end); {
		l.Tick()
	}
}

// Tick generates the packets of one [bvnode.TickInterval].
func (l *Load) Tick() {
	l.group.Tick()
	slot := l.tick % ringTicks
	events := l.events[slot]
	l.events[slot] = nil
	for _, f := range events {
		if f.active {
			l.handle(f)
		}
	}
	l.dueFlows += l.options.FlowsPerSecond * bvnode.TickInterval.Seconds()
	for ; l.dueFlows >= 1; l.dueFlows-- {
		l.openFlow()
	}
	if l.Observer != nil {
		l.Observer.Tick()
	}
	l.tick++
}

func (l *Load) openFlow() {
	var f *Flow
	if n := len(l.free); n > 0 {
		f, l.free = l.free[n-1], l.free[:n-1]
	} else {
		f = &Flow{}
		l.flows = append(l.flows, f)
	}
	life := l.options.ShortLife
	if l.random.Float64() < l.options.LongShare {
		life = l.options.LongLife
	}
	service := 0
	for x := l.random.Float64(); service < len(l.options.Shares)-1 && x >= l.options.Shares[service]; service++ {
		x -= l.options.Shares[service]
	}
	l.flowNumber++
	n := l.flowNumber
	*f = Flow{
		Tuple: bvflow.Tuple{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(n >> 24), byte(n >> 16), byte(n >> 8)}), 1024+uint16(n&0xff)),
			Destination: bvgroup.ServiceAddress(service), Protocol: bvflow.ProtocolTCP,
		},
		Service: service, OpenedTick: l.tick, active: true,
	}
	ticks := l.random.ExpFloat64() * float64(life) / float64(bvnode.TickInterval)
	f.closeTick = l.tick + 1 + min(int(ticks), ringTicks-200)
	l.Counts.Opened++
	l.sendOpening(f)
}

func (l *Load) scheduleAt(f *Flow, tick int) {
	l.events[tick%ringTicks] = append(l.events[tick%ringTicks], f)
}

// randomBalancer returns the index of a running balancer.
func (l *Load) randomBalancer() int {
	ms := l.group.Members()
	for {
		if i := l.random.IntN(len(ms)); ms[i].Node != nil {
			return i
		}
	}
}

func (l *Load) send(f *Flow, phase bvflow.Phase) bvgroup.Result {
	r := l.group.Send(l.randomBalancer(), bvflow.Packet{Tuple: f.Tuple, Phase: phase})
	l.Counts.Hops += r.Hops
	return r
}

func (l *Load) sendOpening(f *Flow) {
	r := l.send(f, bvflow.PhaseOpening)
	f.attempts++
	if r.Upstream == 0 {
		l.Counts.Reasons[r.Reason.String()]++
	}
	switch {
	case r.Upstream != 0:
		f.Upstream, f.Exception = r.Upstream, r.CarriedRecord
		f.closeTick += l.tick - f.OpenedTick
		l.recordPlaced(f)
	case r.Verdict == bvroute.VerdictRefuse:
		l.Counts.Refused++
		l.endFlow(f)
	case f.attempts == 4:
		l.Counts.Failed++
		l.endFlow(f)
	default:
		if f.attempts == 1 {
			l.Counts.Delayed++
		}
		l.scheduleAt(f, l.tick+10<<(f.attempts-1)) // After 1, 2 and 4 s.
	}
}

func (l *Load) recordPlaced(f *Flow) {
	l.Counts.Placed++
	l.openFlows[f.Upstream]++
	if f.Exception {
		l.Counts.Exceptions++
	}
	if l.Observer != nil {
		l.Observer.Opened(f)
	}
	// This is the acknowledgement that ends the handshake.
	l.sendData(f, bvflow.PhaseEstablished)
	l.scheduleNext(f)
}

func (l *Load) scheduleNext(f *Flow) {
	l.scheduleAt(f, min(f.closeTick, l.tick+int(l.options.DataInterval/bvnode.TickInterval)))
}

func (l *Load) handle(f *Flow) {
	switch {
	case f.Upstream == 0:
		l.sendOpening(f)
	case l.tick >= f.closeTick:
		l.sendData(f, bvflow.PhaseClosing)
		l.openFlows[f.Upstream]--
		l.endFlow(f)
	default:
		l.sendData(f, bvflow.PhaseEstablished)
		l.scheduleNext(f)
	}
}

func (l *Load) sendData(f *Flow, phase bvflow.Phase) {
	r := l.send(f, phase)
	l.Counts.Packets++
	switch {
	case r.Upstream == 0:
		l.Counts.Dropped++
	case r.Upstream != f.Upstream && !f.Broken:
		f.Broken = true
		l.Counts.Broken++
	}
}

func (l *Load) endFlow(f *Flow) {
	f.active = false
	if l.Observer != nil && f.Upstream != 0 {
		l.Observer.Closed(f)
	}
	// The flow can be reused, since only events of this tick may refer to it.
	l.free = append(l.free, f)
}

// AbandonZone ends all flows of a zone that operators take out of service.
func (l *Load) AbandonZone(zone string) {
	inZone := map[bvconfig.UpstreamID]bool{}
	for _, u := range l.group.Config().Upstreams {
		inZone[u.ID()] = u.Zone == zone
	}
	for _, f := range l.flows {
		if f.active && inZone[f.Upstream] {
			f.active = false // Not reused, since an event still refers to it.
			l.openFlows[f.Upstream]--
			l.Counts.Abandoned++
			if l.Observer != nil {
				l.Observer.Closed(f)
			}
		}
	}
}

// EachOpen calls visit for each open flow.
func (l *Load) EachOpen(visit func(*Flow)) {
	for _, f := range l.flows {
		if f.active && f.Upstream != 0 {
			visit(f)
		}
	}
}

// CheckOpen sends a data packet of each open flow, which also detects broken
// flows that are not sending. It returns the number of flows whose packet
// reached no upstream.
func (l *Load) CheckOpen() (unreachable int) {
	before := l.Counts.Dropped
	l.EachOpen(func(f *Flow) { l.sendData(f, bvflow.PhaseEstablished) })
	return l.Counts.Dropped - before
}

// Imbalance returns the imbalance of the worst service: the largest number of
// open flows of an upstream divided by the mean, over the upstreams that accept
// new flows.
func (l *Load) Imbalance() float64 {
	return Imbalance(l.group.Config(), l.openFlows)
}

// Imbalance returns the imbalance for the given numbers of open flows.
func Imbalance(c bvconfig.Config, open map[bvconfig.UpstreamID]int) float64 {
	outOfService := map[string]bool{}
	for _, z := range c.Zones {
		outOfService[z.Name] = z.OutOfService
	}
	worst := 1.0
	for _, s := range c.Services {
		largest, sum, n := 0, 0, 0
		for _, u := range c.Upstreams {
			if u.Service == s.Name && !u.Leaving && !outOfService[u.Zone] {
				largest, sum, n = max(largest, open[u.ID()]), sum+open[u.ID()], n+1
			}
		}
		if sum > 0 {
			worst = max(worst, float64(largest)*float64(n)/float64(sum))
		}
	}
	return worst
}
