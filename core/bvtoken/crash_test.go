package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// TestRefusingUpstream guards against an upstream that attracts new flows because
// it refuses them at once. The process has crashed and its VM resets openings
// within milliseconds, so its load looks low. Callers retry with a new port until
// they have used up their tries.
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
	advance := func(d time.Duration) {
		f.advance(d)
		for len(waiting) > 0 && !waiting[0].at.After(f.now) {
			f.answer(waiting[0].flow)
			waiting = waiting[1:]
		}
	}
	up := true
	// request returns the number of openings of one request that were refused.
	request := func() (refused int) {
		defer func() { advance(interval - min(time.Duration(refused+1), tries)*handshake) }()
		for refused < tries {
			x := f.newFlow(feeds)
			f.open(x)
			advance(handshake)
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
	assert.LessOrEqual(t, refused, 8, "two until ejection, four more within the time that takes, one for each retry")
}

// TestDistantCallers guards against ejecting upstreams that answer. The callers'
// round trip is longer than the usual handshake timeout, and some repeat their
// opening.
func TestDistantCallers(t *testing.T) {
	const roundTrip = 180 * time.Millisecond
	f := newFixture(11, 12, 13, 14)
	type open struct {
		flow *flow
		at   time.Time
	}
	var waiting []open
	ejected := 0
	for i := range 400 {
		x := f.newFlow(feeds)
		if f.open(x); i > 100 {
			for id := range f.router.targets {
				if f.router.limiter.Unresponsive(id) {
					ejected++
				}
			}
		}
		waiting = append(waiting, open{x, f.now.Add(roundTrip)})
		f.advance(5 * time.Millisecond)
		for len(waiting) > 0 && !waiting[0].at.After(f.now) {
			f.request(waiting[0].flow, false)
			f.answer(waiting[0].flow)
			waiting = waiting[1:]
		}
	}
	assert.Zero(t, ejected)
}

// TestRefusingZone guards against callers that are refused by one upstream of a
// zone after the other. All upstreams of the zone restart at once, and the balancer
// sends each of them a flow only now and then.
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
	// open reports whether a flow was opened.
	open := func() bool {
		x := f.newFlow(feeds)
		f.open(x)
		f.advance(3 * time.Millisecond)
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
			} else if f.router.zones["zone-a"].answered.sentAt.After(started) {
				inZone++
			}
			f.advance(interval - 3*time.Millisecond)
		}
		return refused, inZone
	}
	refused, inZone := run()
	assert.Zero(t, refused)
	assert.Equal(t, int(length/interval), inZone)
	down = true
	refused, _ = run()
	assert.LessOrEqual(t, refused, 8, "three until the zone counts as down, and one for each retry")
	down = false
	run()
	refused, inZone = run()
	assert.Zero(t, refused)
	assert.Equal(t, int(length/interval), inZone, "the zone is in use again")
}

// TestOldEvidence guards against idle flows that are reset at a removed upstream which
// was silent some time ago: its links had failed, and while every packet to it is
// answered with a reset, nothing can show that it is back.
func TestOldEvidence(t *testing.T) {
	f := newFixture(11, 12)
	connect := func(id bvconfig.UpstreamID) *flow {
		for {
			if x := f.connect(feeds); x.upstream == id {
				return x
			}
		}
	}
	active, idle, other := connect(11), connect(11), connect(12)
	f.remove(11)
	f.request(active, false)
	for range 4 {
		f.advance(200 * time.Millisecond)
		f.request(other, false)
		f.answer(other)
		f.request(active, true)
	}
	assert.Equal(t, VerdictReset, f.request(idle, false).Verdict, "the upstream appears to have ended")
	f.advance(3 * time.Second)
	assert.Equal(t, VerdictForward, f.request(idle, false).Verdict)
	f.answer(idle)
	assert.Equal(t, VerdictForward, f.request(active, false).Verdict, "it has answered")
}
