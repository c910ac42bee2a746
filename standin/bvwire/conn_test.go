package bvwire

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// path carries segments between two ends in virtual time, and loses,
// duplicates and reorders them.
type path struct {
	random         *rand.Rand
	loss           float64
	now            time.Time
	flying         []Segment
	client, server *Conn
}

func newPath(seed uint64, loss float64) *path {
	p := &path{random: rand.New(rand.NewPCG(seed, 0)), loss: loss, now: time.Unix(0, 0)}
	p.client = Dial(p.now, source4, dest4, 0xFFFFFF00, p.send) // The sequence numbers wrap.
	return p
}

func (p *path) send(s Segment) {
	s.Payload = append([]byte(nil), s.Payload...)
	for range 1 + p.random.IntN(2) {
		if p.random.Float64() >= p.loss {
			p.flying = append(p.flying, s)
		}
	}
}

// step delivers what is in flight in random order and lets 10 ms pass.
func (p *path) step() {
	l := p.flying
	p.flying = nil
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

// TestConnDelivers guards against answers that are lost, damaged or cut by
// loss, duplication and reordering, which the demo would blame on a balancer.
func TestConnDelivers(t *testing.T) {
	for seed := range uint64(20) {
		p := newPath(seed, 0.2)
		want := Body(VerbCertificate, "c-1")
		var got, request []byte
		asked := false
		for i := 0; i < 60_000 && !(p.client.Ended() && p.server != nil && p.server.Ended()); i++ {
			p.step()
			if p.client.State() == StateOpen && !asked {
				asked = true
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

// TestConnEnds guards against ends of a connection that are mixed up: only a
// RST that acknowledges the SYN is a refusal.
func TestConnEnds(t *testing.T) {
	p := newPath(1, 0)
	syn := p.flying[0]
	foreign := ResetFor(syn)
	foreign.Acknowledgment += 5
	p.client.Handle(p.now, foreign)
	require.Equal(t, StateOpening, p.client.State(), "a RST that acknowledges something else")
	p.client.Handle(p.now, ResetFor(syn))
	assert.Equal(t, StateRefused, p.client.State())

	p = newPath(1, 0)
	for p.client.State() != StateOpen {
		p.step()
	}
	p.client.Handle(p.now, Segment{RST: true})
	assert.Equal(t, StateReset, p.client.State())

	p = newPath(1, 1)
	for i := 0; i < 10_000 && !p.client.Ended(); i++ {
		p.step()
	}
	assert.Equal(t, StateTimedOut, p.client.State())
	assert.Equal(t, maxTries, p.client.Retransmitted)
}
