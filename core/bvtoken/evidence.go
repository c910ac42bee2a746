package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
)

// The flows of a removed upstream have ended if at least endedMinUnacked consecutive
// packets to it, over at least endedMinDuration, were not acknowledged. One lost packet,
// or a burst of losses at one moment, is not enough.
const (
	endedMinUnacked  = 2
	endedMinDuration = 350 * time.Millisecond
	// endedRetryAfter is the age of the last unacknowledged packet from which it no
	// longer shows that. Then one more packet is forwarded: links may have failed
	// instead of the upstream, and while all its flows are reset, no answer can show
	// that it is back.
	endedRetryAfter = 2 * time.Second
	// maxUnackedGap is the time between two unacknowledged packets from which the later
	// one starts a new run. Packets are lost now and then.
	maxUnackedGap = 10 * time.Second
)

// lossMemory is how long the loss of a packet shows that others may be lost as well.
// Links lose packets in bursts, when they are full.
const lossMemory = 5 * time.Second

// losesPackets reports whether packets to upstreams that answer were lost recently. Then
// unacknowledged packets do not show that an upstream has ended.
func (r *Router) losesPackets(now time.Time) bool {
	return !r.lostPacketAt.IsZero() && now.Sub(r.lostPacketAt) < lossMemory
}

// unackedRun is a run of consecutive unacknowledged packets.
type unackedRun struct {
	count int       // Unacknowledged packets since the last answer.
	first time.Time // Time of the first of them.
	last  time.Time
	// overtaken is how many of them were sent well before a packet to another upstream
	// of the zone that was answered.
	overtaken int
	// repeats counts the repeated packets since the last answer, including those that
	// do not show that a packet was not acknowledged.
	repeats int
	// caller sent the first unacknowledged packet; others is true if another one sent
	// a later one.
	caller netip.Addr
	others bool
}

func (s *unackedRun) reset() { *s = unackedRun{} }

func (s *unackedRun) record(now time.Time, caller netip.Addr) {
	if s.count > 0 && now.Sub(s.last) >= maxUnackedGap {
		s.reset()
	}
	if s.count == 0 {
		s.first, s.caller = now, caller
	}
	s.count++
	s.last = now
	s.others = s.others || s.caller != caller
}

// Evidence is what shows that an upstream does not answer.
type Evidence struct {
	// Unacked is the number of unacknowledged packets since the upstream's last answer,
	// the first of them UnackedFor ago.
	Unacked    int
	UnackedFor time.Duration
	// Overtaken is how many of them were sent well before a packet to another upstream
	// of the zone that was answered.
	Overtaken int
	// Repeats is the number of packets that callers have repeated since that answer.
	// The other ones may have been late in this process or its links.
	Repeats int
	// AnswerTime is the usual time from an opening to the next packet of its caller.
	AnswerTime time.Duration
	// ReadWait is the longest time for which the packet may have waited to be read.
	ReadWait time.Duration
}

// evidence returns what a run shows at a packet.
func (r *Router) evidence(now time.Time, run *unackedRun, p Packet) Evidence {
	return Evidence{
		Unacked: run.count, UnackedFor: now.Sub(run.first), Overtaken: run.overtaken, Repeats: run.repeats,
		AnswerTime: r.handshake.mean, ReadWait: now.Sub(p.ArrivedAfter),
	}
}

// showsEnd reports whether the run shows a caller that a removed upstream has ended. The
// packets of a single caller show that only to this caller, which may get no packets
// itself.
func (s *unackedRun) showsEnd(now time.Time, caller netip.Addr) bool {
	return s.count >= endedMinUnacked && s.last.Sub(s.first) >= endedMinDuration && now.Sub(s.last) < endedRetryAfter &&
		(s.others || s.caller == caller)
}

// A balancer counts as isolated from all upstreams after isolatedMinUnacked
// consecutive packets, to any upstreams, stayed unacknowledged over at least
// isolatedMinDuration.
const (
	isolatedMinUnacked  = 4
	isolatedMinDuration = 600 * time.Millisecond
	// isolatedHold is how long the balancer counts as isolated without further
	// packets. Then it accepts callers again.
	isolatedHold = 2 * time.Second
	// partitionedHold replaces isolatedHold while the platform is unreachable as well.
	// The balancer is then partitioned, and returning callers would only wait.
	partitionedHold = 10 * time.Second
)

// reachability tracks the answers of all upstreams together, which show whether
// this balancer's own links work.
type reachability struct{ unackedRun }

// isolated reports whether this balancer appears to reach no upstream, which
// takes at least threshold consecutive unacknowledged packets. platformReachable
// is true if the catalog is current.
func (e *reachability) isolated(now time.Time, threshold int, platformReachable bool) bool {
	hold := partitionedHold
	if platformReachable {
		hold = isolatedHold
	}
	return e.count >= threshold && e.last.Sub(e.first) >= isolatedMinDuration && now.Sub(e.last) < hold
}

const (
	// zoneDownMinUpstreams is how many upstreams of a zone must leave packets
	// unacknowledged, one after the other, before the zone counts as down. It
	// bounds zoneHealth.upstreamChanges, so two upstreams in turn count as well.
	zoneDownMinUpstreams = 3
	// zoneDownFor is how long a zone counts as down. Then its upstreams are tried
	// again, since most zone failures end within seconds.
	zoneDownFor = time.Second
)

// zoneHealth tracks the answers of all upstreams in one zone. A balancer sends
// each of many upstreams a flow only now and then. If all upstreams of a zone fail,
// their own counters show that only one by one, each at the cost of some flows.
type zoneHealth struct {
	unacked         int                 // Unacknowledged packets since the last answer.
	upstreamChanges int                 // Changes of lastUpstream since the last answer.
	lastUpstream    bvconfig.UpstreamID // The last upstream that left a packet unacknowledged.
	downUntil       time.Time
	answered        newestAnswered // Of the packets to the zone.
}

// recordAnswer records that an upstream of the zone has answered.
func (z *zoneHealth) recordAnswer() { *z = zoneHealth{answered: z.answered} }

// recordUnacked records an unacknowledged packet to u. The zone counts as down
// after at least threshold of them in a row, at several upstreams.
func (z *zoneHealth) recordUnacked(now time.Time, u bvconfig.UpstreamID, threshold int) {
	z.unacked++
	if u != z.lastUpstream {
		z.upstreamChanges++
		z.lastUpstream = u
	}
	if z.upstreamChanges >= zoneDownMinUpstreams && z.unacked >= threshold {
		z.downUntil = now.Add(zoneDownFor)
	}
}

// down reports whether the zone counts as down.
func (z *zoneHealth) down(now time.Time) bool { return now.Before(z.downUntil) }
