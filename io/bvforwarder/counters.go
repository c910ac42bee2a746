package bvforwarder

import (
	"time"

	"balsamvane/core/bvtoken"

	"github.com/uber-go/tally/v4"
)

// counters are made once, so that counting takes no look-up by name.
type counters struct {
	verdicts   map[bvtoken.Verdict][]tally.Counter
	sendFailed tally.Counter
	panics     tally.Counter
	// seconds is the time from the end of a read to the end of the write of a
	// batch; batch is its number of packets.
	seconds tally.Histogram
	batch   tally.Histogram
	// lag is how old an answer with changes was when this balancer used it.
	lag      tally.Histogram
	age      tally.Gauge
	version  tally.Gauge
	revision tally.Gauge
	// followers is the number of balancers that follow this one.
	followers tally.Gauge
}

func newCounters(s tally.Scope) *counters {
	c := &counters{
		verdicts:   map[bvtoken.Verdict][]tally.Counter{},
		sendFailed: s.Counter("sendFailed"),
		panics:     s.Counter("panics"),
		seconds:    s.Histogram("packetSeconds", tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 4, 9)),
		lag:        s.Histogram("changeLagSeconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 8)),
		batch:      s.Histogram("batchPackets", tally.MustMakeExponentialValueBuckets(1, 2, 6)),
		age:        s.Gauge("catalogAgeSeconds"),
		version:    s.Gauge("configurationVersion"),
		revision:   s.Gauge("catalogRevision"),
		followers:  s.Gauge("followers"),
	}
	for _, v := range []bvtoken.Verdict{bvtoken.VerdictDrop, bvtoken.VerdictForward, bvtoken.VerdictReset} {
		for _, r := range bvtoken.Reasons() {
			t := s.Tagged(map[string]string{"verdict": v.String(), "reason": r.String()})
			c.verdicts[v] = append(c.verdicts[v], t.Counter("packets"))
		}
	}
	return c
}

// reason counts a packet by verdict and reason.
func (c *counters) reason(v bvtoken.Verdict, r bvtoken.Reason) { c.verdicts[v][r].Inc(1) }

// gauge publishes how old the catalog is, what it holds and who follows it. The
// caller holds mu.
func (w *Forwarder) gauge(now time.Time) {
	w.counters.age.Update(w.catalog.Age(now).Seconds())
	w.counters.version.Update(float64(w.catalog.Version()))
	w.counters.revision.Update(float64(w.catalog.Revision()))
	w.counters.followers.Update(float64(w.relay.Followers()))
}

// CallCounter returns a function that counts calls to the store by kind and
// result.
func CallCounter(s tally.Scope) func(kind, result string) {
	return func(kind, result string) {
		s.Tagged(map[string]string{"kind": kind, "result": result}).Counter("storeCalls").Inc(1)
	}
}
