// Package bvscenario measures the control traffic and the broken flows that
// changes of a group cause. Each scenario runs a group of 8 balancers in 4 zones
// in front of two services with 14 and 4 upstreams under the same workload,
// applies its changes one after another, and compares the outcome of each with
// the baselines.
//
// # Usage
//
//	for _, s := range bvscenario.All(bvscenario.Options{}) {
//		outcomes, err := s.Run()
//	}
package bvscenario

import (
	"time"

	"balsamvane/bench/bvbaseline"
	"balsamvane/bench/bvgroup"
	"balsamvane/bench/bvload"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
)

const (
	zones     = 4
	balancers = 8
	// budget is the control budget of a balancer in bytes a second.
	budget = 3000
	// window is the time over which control bytes are averaged.
	window = 10 * time.Second
	// normalTime is how long imbalance and refusals must stay normal before the
	// group counts as normal again.
	normalTime = 2 * time.Second
	// normalImbalance is the largest imbalance that counts as normal.
	normalImbalance = 1.1
)

// Options are common to all scenarios. Zero values are replaced by the
// defaults in the comments.
type Options struct {
	Seed uint64
	// FlowsPerSecond is the number of new flows a second for each balancer;
	// 3,000.
	FlowsPerSecond float64
	WarmUp         time.Duration // Time of load before the first change; 30 s.
	After          time.Duration // Time of load after each change; 60 s.
}

func (o Options) withDefaults() Options {
	if o.FlowsPerSecond == 0 {
		o.FlowsPerSecond = 3000
	}
	if o.WarmUp == 0 {
		o.WarmUp = 30 * time.Second
	}
	if o.After == 0 {
		o.After = 60 * time.Second
	}
	return o
}

// Rates are bytes a second. Each is averaged over the window of 10 s in which it
// is largest.
type Rates struct {
	Mean     float64 // Sent, mean of the balancers.
	Sent     float64 // Sent by the balancer that sends most.
	Received float64 // Received by the balancer that receives most.
	InBand   float64 // Record options sent, mean of the balancers.
}

// Outcome holds the measured effects of a change.
type Outcome struct {
	Name           string
	Rates          Rates
	OpenFlows      int // At the change.
	Counts         bvload.Counts
	Unreachable    int // Open flows whose packet reaches no upstream at the end.
	Imbalance      float64
	WorstImbalance float64 // Largest imbalance during the first 10 s.
	// NormalAfter is the time until imbalance and refusals are normal; negative if
	// that did not happen.
	NormalAfter time.Duration
	// AllActiveAfter is the time until all balancers are active; negative if that
	// did not happen, and one tick, not 0, if all stayed active.
	AllActiveAfter time.Duration
	Hashing        bvbaseline.HashingResult
	Replicated     ReplicationResult
	Bloom          []bvbaseline.BloomResult // Set by the quiet scenario only.
}

// ReplicationResult is the outcome of a change with the baseline that replicates
// every flow.
type ReplicationResult struct {
	Share  float64 // Share of the open flows that are replicated at the change.
	Broken int
	// RecoveryTime is the time to replicate the flows of failed balancers again,
	// under the budget.
	RecoveryTime time.Duration
}

// Scenario is a series of changes.
type Scenario struct {
	Name    string
	steps   []step
	options Options
}

type step struct {
	name            string
	duration        time.Duration // Time of load after the change; Options.After if 0.
	failedBalancers []int         // Indexes of the balancers that lose their tables.
	apply           func(r *run) error
	onTick          func(r *run, since time.Duration) // Called in each tick.
}

// run is a running scenario.
type run struct {
	*bvgroup.Group
	load        *bvload.Load
	replication *bvbaseline.Replication
	samples     []sample // Taken once a second.
	options     Options
}

type sample struct {
	sent, received, inBand []int // Bytes since the start, of each balancer.
}

// Run runs the scenario and returns one outcome for each of its changes.
func (s Scenario) Run() ([]Outcome, error) {
	g, err := bvgroup.New(bvgroup.Shape{
		Zones: zones, Balancers: balancers, Upstreams: []int{14, 4},
		Cold: coldRate, Warm: warmRate, WarmUp: warmUp,
	})
	if err != nil {
		return nil, err
	}
	defer g.Close()
	r := &run{Group: g, options: s.options, replication: bvbaseline.NewReplication(g.Config(), budget)}
	r.load = bvload.New(g, bvload.Options{Seed: s.options.Seed, FlowsPerSecond: s.options.FlowsPerSecond * balancers})
	r.load.Observer = r.replication
	// The upstreams are warm before the load starts.
	g.Run(warmUp + 10*time.Second)
	r.load.Run(s.options.WarmUp)
	var out []Outcome
	for _, st := range s.steps {
		o, err := r.step(st)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, g.Err()
}

func (r *run) step(s step) (Outcome, error) {
	o := Outcome{Name: s.name, NormalAfter: -1, AllActiveAfter: -1}
	r.load.EachOpen(func(*bvload.Flow) { o.OpenFlows++ })
	before, counts := r.Config(), r.load.Counts
	r.load.Counts.Reasons = map[string]int{}
	o.Replicated.Share = r.replication.ReplicatedShare()
	if s.apply != nil {
		if err := s.apply(r); err != nil {
			return o, err
		}
	}
	o.Hashing = bvbaseline.CompareHashing(before, r.Config(), r.load)
	broken, toReplicate := r.replication.CountLost(r.Config(), s.failedBalancers...)
	o.Replicated.Broken = broken
	o.Replicated.RecoveryTime = time.Duration(float64(toReplicate) * 24 / budget * float64(time.Second))
	if s.name == "quiet" {
		for _, bits := range []int{8, 10, 16} {
			o.Bloom = append(o.Bloom, bvbaseline.CompareBloom(r.Config(), r.load, bits))
		}
	}
	r.observe(s, &o)
	o.Imbalance = r.load.Imbalance()
	o.Unreachable = r.load.CheckOpen()
	o.Counts = subtractCounts(r.load.Counts, counts)
	return o, nil
}

// observe runs the load for the duration of the step and measures the group in
// each tick.
func (r *run) observe(s step, o *Outcome) {
	start, normalSince := r.Now(), r.Now()
	r.samples = []sample{r.sample()}
	duration := s.duration
	if duration == 0 {
		duration = r.options.After
	}
	for since := time.Duration(0); since < duration; {
		failuresBefore := r.load.Counts.Refused + r.load.Counts.Delayed
		r.load.Tick()
		since = r.Now().Sub(start)
		if s.onTick != nil {
			s.onTick(r, since)
		}
		imbalance := r.load.Imbalance()
		if since <= window {
			o.WorstImbalance = max(o.WorstImbalance, imbalance)
		}
		if imbalance >= normalImbalance || r.load.Counts.Refused+r.load.Counts.Delayed > failuresBefore {
			normalSince = r.Now()
		}
		if o.NormalAfter < 0 && r.Now().Sub(normalSince) >= normalTime {
			o.NormalAfter = normalSince.Sub(start)
		}
		if o.AllActiveAfter < 0 && r.allActive() {
			o.AllActiveAfter = since
		}
		if since%time.Second == 0 {
			r.samples = append(r.samples, r.sample())
		}
	}
	o.Rates = r.rates()
}

func (r *run) allActive() bool {
	for _, m := range r.Members() {
		if m.Node == nil || m.Node.Status(r.Now()).State != "active" {
			return false
		}
	}
	return true
}

func (r *run) sample() sample {
	var s sample
	for _, m := range r.Members() {
		s.sent = append(s.sent, m.Traffic.Sent.Control())
		s.received = append(s.received, m.Traffic.Received.Control())
		s.inBand = append(s.inBand, m.Traffic.Sent.Record)
	}
	return s
}

// rates returns the largest averages over a window.
func (r *run) rates() Rates {
	var out Rates
	n := int(window / time.Second)
	for i := n; i < len(r.samples); i++ {
		a, b := r.samples[i-n], r.samples[i]
		mean, inBand := 0.0, 0.0
		for j := range b.sent {
			sent := float64(b.sent[j]-a.sent[j]) / window.Seconds()
			mean += sent / balancers
			inBand += float64(b.inBand[j]-a.inBand[j]) / window.Seconds() / balancers
			out.Sent = max(out.Sent, sent)
			out.Received = max(out.Received, float64(b.received[j]-a.received[j])/window.Seconds())
		}
		out.Mean, out.InBand = max(out.Mean, mean), max(out.InBand, inBand)
	}
	return out
}

func subtractCounts(a, b bvload.Counts) bvload.Counts {
	return bvload.Counts{
		Reasons: a.Reasons,
		Opened:  a.Opened - b.Opened, Refused: a.Refused - b.Refused, Delayed: a.Delayed - b.Delayed,
		Failed: a.Failed - b.Failed, Placed: a.Placed - b.Placed, Exceptions: a.Exceptions - b.Exceptions,
		Packets: a.Packets - b.Packets, Dropped: a.Dropped - b.Dropped, Broken: a.Broken - b.Broken,
		Abandoned: a.Abandoned - b.Abandoned, Hops: a.Hops - b.Hops,
	}
}

// setOutOfService sets whether a zone is out of service.
func setOutOfService(name string, out bool) func(*bvconfig.Config) {
	return func(c *bvconfig.Config) {
		for i := range c.Zones {
			if c.Zones[i].Name == name {
				c.Zones[i].OutOfService = out
			}
		}
	}
}

// reportRestart delivers probe results to the balancers of a zone that say that
// all its upstreams were started at the given time.
func (r *run) reportRestart(zone string, at time.Time) {
	for _, u := range r.Config().Upstreams {
		if u.Zone == zone {
			r.Probe(u, bvnode.ProbeSucceeded{Upstream: u.ID(), State: bvnode.UpstreamWarm, StartedAt: at})
		}
	}
}
