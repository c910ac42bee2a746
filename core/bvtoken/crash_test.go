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
				if f.router.limiter.Unresponsive(id) {
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

// TestRefusingZone guards against callers that are refused by one upstream of
// the zone after the other: pattern of a zone whose upstreams all restart at
// once, before a balancer that sends each of them a flow now and then.
func TestRefusingZone(t *testing.T) {
	const (
		perZone  = 30
		interval = 60 * time.Millisecond
		length   = 4 * time.Second
	)
	var ids []bvconfig.UpstreamID
	for i := range perZone {
		for _, zone := range []int{1, 2} { // zone-a and zone-b.
			ids = append(ids, bvconfig.UpstreamID(10*zone+26*10*4*i))
		}
	}
	f := newFixture(ids...)
	down := false
	// open returns whether a flow was opened.
	open := func() bool {
		x := f.caller(feeds)
		f.open(x)
		f.pass(3 * time.Millisecond)
		if f.router.targets[x.upstream].inZone && down {
			return false
		}
		f.request(x, false)
		f.answer(x)
		return true
	}
	run := func() (refused, inZone int) {
		for range int(length / interval) {
			started := f.now
			if !open() {
				refused++
			} else if f.router.zones["zone-a"].answered.After(started) {
				inZone++
			}
			f.pass(interval - 3*time.Millisecond)
		}
		return refused, inZone
	}
	refused, inZone := run()
	assert.Zero(t, refused)
	assert.Equal(t, int(length/interval), inZone)
	down = true
	refused, _ = run()
	assert.LessOrEqual(t, refused, 8, "three for the finding, and one for each trial")
	down = false
	run()
	refused, inZone = run()
	assert.Zero(t, refused)
	assert.Equal(t, int(length/interval), inZone, "the zone is in use again")
}
