package bvwire

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lossyPath connects two ends in virtual time, and loses, duplicates and
// reorders their segments.
type lossyPath struct {
	random         *rand.Rand
	loss           float64
	now            time.Time
	inFlight       []Segment
	client, server *Conn
}

func newLossyPath(seed uint64, loss float64) *lossyPath {
	p := &lossyPath{random: rand.New(rand.NewPCG(seed, 0)), loss: loss, now: time.Unix(0, 0)}
	p.client = Dial(p.now, source4, dest4, 0xFFFFFF00, p.send) // The sequence numbers wrap.
	return p
}

func (p *lossyPath) send(s Segment) {
	s.Payload = append([]byte(nil), s.Payload...)
	for range 1 + p.random.IntN(2) {
		if p.random.Float64() >= p.loss {
			p.inFlight = append(p.inFlight, s)
		}
	}
}

// step delivers the segments in flight in random order and advances the time
// by 10 ms.
func (p *lossyPath) step() {
	l := p.inFlight
	p.inFlight = nil
	p.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, s := range l {
		switch {
		case s.Destination == source4:
			p.client.Handle(p.now, s)
		case p.server != nil:
			p.server.Handle(p.now, s)
		case s.SYN:
			p.server = Accept(p.now, s, 0xFFFFFFF0, p.send)
		}
	}
	p.now = p.now.Add(10 * time.Millisecond)
	p.client.Tick(p.now)
	if p.server != nil {
		p.server.Tick(p.now)
	}
}

// TestConnTransfersData guards against loss, duplication and reordering of
// segments that damage or truncate an answer. The demo would report that as a
// fault of a balancer.
func TestConnTransfersData(t *testing.T) {
	for seed := range uint64(20) {
		p := newLossyPath(seed, 0.2)
		want := Body(VerbCertificate, "c-1")
		var got, request []byte
		requested := false
		for i := 0; i < 60_000 && !(p.client.Ended() && p.server != nil && p.server.Ended()); i++ {
			p.step()
			if p.client.State() == StateOpen && !requested {
				requested = true
				p.client.Write(p.now, []byte("certificate c-1\n"))
			}
			if p.server != nil {
				n := len(request)
				if request = append(request, p.server.Read()...); len(request) > n && len(request) == 16 {
					p.server.Write(p.now, want)
					p.server.Close(p.now)
				}
			}
			if got = append(got, p.client.Read()...); p.client.PeerClosed() {
				p.client.Close(p.now)
			}
		}
		assert.Equal(t, StateClosed, p.client.State(), "seed %d", seed)
		assert.Equal(t, "certificate c-1\n", string(request), "seed %d", seed)
		assert.Equal(t, want, got, "seed %d", seed)
		assert.Positive(t, p.client.Retransmitted+p.server.Retransmitted, "seed %d", seed)
	}
}

// TestConnFinalStates guards against wrong final states. Only a RST that
// acknowledges the SYN is a refusal.
func TestConnFinalStates(t *testing.T) {
	p := newLossyPath(1, 0)
	syn := p.inFlight[0]
	unrelated := ResetFor(syn)
	unrelated.Acknowledgment += 5
	p.client.Handle(p.now, unrelated)
	require.Equal(t, StateOpening, p.client.State(), "a RST that acknowledges something else")
	p.client.Handle(p.now, ResetFor(syn))
	assert.Equal(t, StateRefused, p.client.State())

	p = newLossyPath(1, 0)
	for p.client.State() != StateOpen {
		p.step()
	}
	p.client.Handle(p.now, Segment{RST: true})
	assert.Equal(t, StateReset, p.client.State())

	p = newLossyPath(1, 1)
	for i := 0; i < 10_000 && !p.client.Ended(); i++ {
		p.step()
	}
	assert.Equal(t, StateTimedOut, p.client.State())
	assert.Equal(t, maxRetransmissions, p.client.Retransmitted)
}
