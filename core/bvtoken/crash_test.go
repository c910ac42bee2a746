package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// TestRefusingUpstream guards against an upstream that attracts new flows
// because it refuses them at once: pattern of a crashed process whose VM
// resets openings within milliseconds, so that its load looks low and callers
// come again with a new port until they have used up their tries.
func TestRefusingUpstream(t *testing.T) {
	const (
		crashed   = bvconfig.UpstreamID(11)
		tries     = 3
		requests  = 300
		handshake = 3 * time.Millisecond
		interval  = 9 * time.Millisecond
		work      = 54 * time.Millisecond
	)
	f := newFixture(11, 12, 13, 14, 21, 22)
	type open struct {
		flow *flow
		at   time.Time
	}
	var waiting []open
	pass := func(d time.Duration) {
		f.pass(d)
		for len(waiting) > 0 && !waiting[0].at.After(f.now) {
			f.answer(waiting[0].flow)
			waiting = waiting[1:]
		}
	}
	up := true
	// request returns the number of openings of one request that were refused.
	request := func() (refused int) {
		defer func() { pass(interval - min(time.Duration(refused+1), tries)*handshake) }()
		for refused < tries {
			x := f.caller(feeds)
			f.open(x)
			pass(handshake)
			if x.upstream == crashed && !up {
				refused++
				continue
			}
			f.request(x, false)
			waiting = append(waiting, open{x, f.now.Add(work)})
			return refused
		}
		return refused
	}
	for range requests {
		request()
	}
	up, waiting = false, nil
	failed, refused := 0, 0
	for range requests {
		n := request()
		refused += n
		if n == tries {
			failed++
		}
	}
	assert.Zero(t, failed, "requests that were refused at each try")
	assert.LessOrEqual(t, refused, 8, "two for the finding, four more within its time, one for each trial")
}

// TestDistantCallers guards against upstreams that are left out although they
// answer: pattern of callers whose round trip is longer than the usual timeout
// of a handshake, of which some repeat their opening.
func TestDistantCallers(t *testing.T) {
	const roundTrip = 180 * time.Millisecond
	f := newFixture(11, 12, 13, 14)
	type open struct {
		flow *flow
		at   time.Time
	}
	var waiting []open
	leftOut := 0
	for i := range 400 {
		x := f.caller(feeds)
		if f.open(x); i > 100 {
			for id := range f.router.targets {
				if f.router.limiter.Silent(id) {
					leftOut++
				}
			}
		}
		waiting = append(waiting, open{x, f.now.Add(roundTrip)})
		f.pass(5 * time.Millisecond)
		for len(waiting) > 0 && !waiting[0].at.After(f.now) {
			f.request(waiting[0].flow, false)
			f.answer(waiting[0].flow)
			waiting = waiting[1:]
		}
	}
	assert.Zero(t, leftOut)
}
