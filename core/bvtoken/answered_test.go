package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
)

// TestNewestAnswered guards against a packet that counts as overtaken by an answer of the
// same batch, which may have arrived later, or by a packet that was sent hardly later,
// whose answer may have had a shorter path.
func TestNewestAnswered(t *testing.T) {
	f := newFixture(11)
	margin := f.router.handshake.timeout()
	tests := []struct {
		name    string
		batches [][]time.Duration // Sending times of the answered packets.
		current bool              // The packet is in the last of these batches.
		want    bool
	}{
		{name: "nothing answered"},
		{name: "sent before", batches: [][]time.Duration{{-time.Second}}},
		{name: "sent hardly later", batches: [][]time.Duration{{margin - 1}}},
		{name: "sent well after", batches: [][]time.Duration{{margin}}, want: true},
		{name: "in the same batch", batches: [][]time.Duration{{margin}}, current: true},
		{name: "in the batch before", batches: [][]time.Duration{{margin}, {2 * margin}}, current: true, want: true},
		{name: "in the same batch, twice", batches: [][]time.Duration{{0}, {margin, 2 * margin}}, current: true},
		{name: "an older one last", batches: [][]time.Duration{{margin}, {0}}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, n := newFixture(11).router, newestAnswered{}
			for i, b := range tt.batches {
				for _, sent := range b {
					n.record(r.batch, start.Add(sent))
				}
				if i < len(tt.batches)-1 || !tt.current {
					r.Sent(start)
				}
			}
			assert.Equal(t, tt.want, r.overtaken(start, &n))
		})
	}
}

// TestRepeatedSoon guards against a copy that counts as unanswered although it arrived
// before an answer could have come, or waited in the socket since then.
func TestRepeatedSoon(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		f := newFixture(11, 12)
		x := f.connect(feeds)
		margin := f.router.handshake.timeout()
		f.request(x, false)
		sent := f.now
		f.advance(margin - 1 + wait)
		f.routeWaiting(x.packet(bvflow.PhaseEstablished, 200), sent.Add(margin-1))
		assert.Zero(t, f.router.targets[x.upstream].unacked.count, "waited %s to be read", wait)
		f.advance(margin)
		f.request(x, true)
		assert.Equal(t, 1, f.router.targets[x.upstream].unacked.count, "waited %s to be read", wait)
	}
}

// TestRepeatedOpeningIsNotMeasured guards against the time of a handshake that begins
// with a copy of the opening, while the answer belongs to the opening before.
func TestRepeatedOpeningIsNotMeasured(t *testing.T) {
	f := newFixture(11, 12)
	x := f.newFlow(feeds)
	f.open(x)
	f.advance(200 * time.Millisecond)
	f.open(x)
	f.advance(time.Millisecond)
	f.route(x.packet(bvflow.PhaseEstablished, 0))
	assert.Zero(t, f.router.handshake.mean)
	y := f.newFlow(feeds)
	f.open(y)
	f.advance(time.Millisecond)
	f.route(y.packet(bvflow.PhaseEstablished, 0))
	assert.Equal(t, time.Millisecond, f.router.handshake.mean)
}
