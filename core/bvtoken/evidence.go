package bvtoken

import "time"

// The rule for a balancer that reaches no upstream: isolatedMin openings in a
// row were unanswered, over at least isolatedAfter.
const (
	isolatedMin   = 4
	isolatedAfter = 600 * time.Millisecond
	// isolatedFor is how long the finding holds without new openings, after
	// which the balancer offers itself again.
	isolatedFor = 2 * time.Second
)

// evidence is what openings say about this balancer's own links.
type evidence struct {
	unanswered int
	first      time.Time // First unanswered opening since the last answer.
	last       time.Time
}

func (e *evidence) answered() { *e = evidence{} }

func (e *evidence) missed(now time.Time) {
	if e.unanswered == 0 {
		e.first = now
	}
	e.unanswered++
	e.last = now
}

func (e *evidence) isolated(now time.Time) bool {
	return e.unanswered >= isolatedMin && e.last.Sub(e.first) >= isolatedAfter && now.Sub(e.last) < isolatedFor
}
