package bvforwarder

import (
	"time"

	"balsamvane/core/bvtoken"

	"github.com/uber-go/tally/v4"
)

// counters are created once, so that counting needs no look-up by name.
type counters struct {
	verdicts   map[bvtoken.Verdict][]tally.Counter
	sendFailed tally.Counter
	panics     tally.Counter
	// batchDuration is the time from the end of the read to the end of the write
	// of a batch; batchPackets is its number of packets.
	batchDuration tally.Histogram
	batchPackets  tally.Histogram
	// readWait is the longest time for which the packets of a batch may have waited in
	// the socket; lockWait is how long the batch then waited for the router.
	readWait, lockWait tally.Histogram
	// applyDuration is the time for which the router waits while an answer is applied.
	applyDuration tally.Histogram
	// changeLag is the age of an answer with changes when this balancer applied it.
	changeLag       tally.Histogram
	catalogAge      tally.Gauge
	configVersion   tally.Gauge
	catalogRevision tally.Gauge
	storeEra        tally.Gauge
	// followers is the number of balancers that follow this one.
	followers tally.Gauge
}

func newCounters(s tally.Scope) *counters {
	c := &counters{
		verdicts:        map[bvtoken.Verdict][]tally.Counter{},
		sendFailed:      s.Counter("sendFailed"),
		panics:          s.Counter("panics"),
		batchDuration:   s.Histogram("packetSeconds", tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 4, 9)),
		readWait:        s.Histogram("readWaitSeconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 7)),
		lockWait:        s.Histogram("lockWaitSeconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 7)),
		applyDuration:   s.Histogram("applySeconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 7)),
		changeLag:       s.Histogram("changeLagSeconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 8)),
		batchPackets:    s.Histogram("batchPackets", tally.MustMakeExponentialValueBuckets(1, 2, 6)),
		catalogAge:      s.Gauge("catalogAgeSeconds"),
		configVersion:   s.Gauge("configurationVersion"),
		catalogRevision: s.Gauge("catalogRevision"),
		storeEra:        s.Gauge("storeEra"),
		followers:       s.Gauge("followers"),
	}
	for _, v := range []bvtoken.Verdict{bvtoken.VerdictDrop, bvtoken.VerdictForward, bvtoken.VerdictReset} {
		for _, r := range bvtoken.Reasons() {
			t := s.Tagged(map[string]string{"verdict": v.String(), "reason": r.String()})
			c.verdicts[v] = append(c.verdicts[v], t.Counter("packets"))
		}
	}
	return c
}

// countPacket counts a packet by verdict and reason.
func (c *counters) countPacket(v bvtoken.Verdict, r bvtoken.Reason) { c.verdicts[v][r].Inc(1) }

// updateGauges publishes the age, version and revision of the catalog and the
// number of followers, and counts admissions and hedges. The caller holds mu.
func (w *Forwarder) updateGauges(now time.Time) {
	w.counters.catalogAge.Update(w.catalog.Age(now).Seconds())
	w.counters.configVersion.Update(float64(w.catalog.Version()))
	w.counters.catalogRevision.Update(float64(w.catalog.Revision().Number))
	w.counters.storeEra.Update(float64(w.catalog.Revision().Era))
	w.counters.followers.Update(float64(w.relay.Followers()))
	for name, s := range w.router.AdmissionStatus(now) {
		w.admissions.update(name, s.Counts)
	}
	if w.hedges.enabled {
		w.hedges.update(w.router.HedgeCounts())
	}
}

// CallCounter returns a function that counts calls to the store by kind and
// result.
func CallCounter(s tally.Scope) func(kind, result string) {
	return func(kind, result string) {
		s.Tagged(map[string]string{"kind": kind, "result": result}).Counter("storeCalls").Inc(1)
	}
}
