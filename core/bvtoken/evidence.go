package bvtoken

import "time"

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
)

// evidence is what all upstreams together say about this balancer's own links.
type evidence struct{ signs }

func (e *evidence) isolated(now time.Time) bool {
	return e.missed >= isolatedMin && e.last.Sub(e.first) >= isolatedAfter && now.Sub(e.last) < isolatedFor
}
