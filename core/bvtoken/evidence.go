package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
)

// The rule for an upstream that seems dead: deadMin packets in a row stayed
// unacknowledged, over at least deadAfter. One lost packet, or the loss of
// several in one moment, is not enough.
const (
	deadMin   = 3
	deadAfter = 350 * time.Millisecond
)

// signs are the signs of life of one upstream.
type signs struct {
	missed int       // Unacknowledged packets since the last answer.
	first  time.Time // The first of them.
	last   time.Time
}

func (s *signs) answered() { *s = signs{} }

func (s *signs) unanswered(now time.Time) {
	if s.missed == 0 {
		s.first = now
	}
	s.missed++
	s.last = now
}

// dead reports whether the upstream seems dead.
func (s *signs) dead() bool { return s.missed >= deadMin && s.last.Sub(s.first) >= deadAfter }

// The rule for a balancer that reaches no upstream: isolatedMin packets in a
// row, to any upstream, stayed unacknowledged over at least isolatedAfter.
const (
	isolatedMin   = 4
	isolatedAfter = 600 * time.Millisecond
	// isolatedFor is how long the finding holds without further packets, after
	// which the balancer offers itself again.
	isolatedFor = 2 * time.Second
	// cutOffFor is how long it holds if the platform is out of reach as well: the
	// balancer is cut off then, and callers that come back would only wait.
	cutOffFor = 10 * time.Second
)

// evidence is what all upstreams together say about this balancer's own links.
type evidence struct{ signs }

// isolated reports whether this balancer seems to reach no upstream. At least
// least packets in a row show that. heard is true if the platform has been heard
// of lately.
func (e *evidence) isolated(now time.Time, least int, heard bool) bool {
	hold := cutOffFor
	if heard {
		hold = isolatedFor
	}
	return e.missed >= least && e.last.Sub(e.first) >= isolatedAfter && now.Sub(e.last) < hold
}

const (
	// zoneMin is the number of upstreams of a zone that leave packets
	// unacknowledged, one after the other, until the zone seems to be down.
	zoneMin = 3
	// zoneDownFor is how long that holds. Then the zone's upstreams are tried
	// again: most losses of a zone end within seconds.
	zoneDownFor = time.Second
)

// zoneSigns are the signs of life of all upstreams in one zone. Each balancer
// sends one of many upstreams a flow now and then only, so if all of a zone
// fail, their own signs show that one by one, each at the cost of some flows.
type zoneSigns struct {
	missed    int                 // Unacknowledged packets since the last answer.
	changes   int                 // Changes of last since the last answer.
	last      bvconfig.UpstreamID // The upstream that left a packet unacknowledged last.
	downUntil time.Time
	answered  time.Time // The last answer.
}

func (z *zoneSigns) answer(now time.Time) { *z = zoneSigns{answered: now} }

// unanswered takes note of an unacknowledged packet. At least least of them in a
// row, at several upstreams, show that the zone is down.
func (z *zoneSigns) unanswered(now time.Time, u bvconfig.UpstreamID, least int) {
	z.missed++
	if u != z.last {
		z.changes++
		z.last = u
	}
	if z.changes >= zoneMin && z.missed >= least {
		z.downUntil = now.Add(zoneDownFor)
	}
}

// down reports whether the zone seems to be down.
func (z *zoneSigns) down(now time.Time) bool { return now.Before(z.downUntil) }
