package bvroute

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// retransmissionCounter counts the retransmissions that a router reports.
type retransmissionCounter struct {
	*budgetLimiter
	count int
}

func (r *retransmissionCounter) Retransmitted(time.Time, bvconfig.UpstreamID) { r.count++ }

// openingScenario runs packets through one owner. Times count from its start.
type openingScenario struct {
	router *Router
	start  time.Time
	peer   bvconfig.NodeID
	trail  Trail // Trail of the packets that follow.
	// packets[0] is the opening under test; the others are of other flows.
	packets []bvflow.Packet
	counter *retransmissionCounter
}

func newOpeningScenario(t *testing.T) *openingScenario {
	f := newCluster(t, 4, 0)
	r := f.nodes[0].router
	s := &openingScenario{router: r, start: f.now, packets: ownedOpenings(f, 8), peer: f.nodes[1].ID()}
	s.counter = &retransmissionCounter{budgetLimiter: f.nodes[0].limiter}
	r.limiter = s.counter
	return s
}

// at returns the time ms milliseconds after the start.
func (s *openingScenario) at(ms int) time.Time {
	return s.start.Add(time.Duration(ms) * time.Millisecond)
}

// read routes a packet of a flow that arrived after one time and was read at
// another.
func (s *openingScenario) read(flow int, phase bvflow.Phase, arrivedAfter, readAt int) {
	p := s.packets[flow]
	p.Phase, p.ArrivedAfter = phase, s.at(arrivedAfter)
	s.router.Route(s.at(readAt), p, s.trail, Record{})
}

// throughPeer runs steps whose packets a peer forwarded.
func (s *openingScenario) throughPeer(steps func()) {
	s.trail = Trail{}.With(s.peer)
	steps()
	s.trail = Trail{}
}

// open routes an opening that arrived and was sent at once.
func (s *openingScenario) open(flow, at int) { s.openLate(flow, at, at) }

// openLate routes an opening that arrived after one time and was read and sent at
// another.
func (s *openingScenario) openLate(flow, arrivedAfter, readAt int) {
	s.read(flow, bvflow.PhaseOpening, arrivedAfter, readAt)
	s.router.Sent(s.at(readAt), s.at(readAt), s.packets[flow])
}

// answer routes the packet that answers an opening, which did not wait.
func (s *openingScenario) answer(flow, at int) { s.read(flow, bvflow.PhaseEstablished, at, at) }

// TestRetransmissionsLateInThisBalancer guards against upstreams that count as
// cold or unresponsive because the copies of their openings, the openings or the
// answers waited in this process, in its own links or at a peer. It also guards against
// copies of openings that an upstream did leave unanswered and that do not count.
func TestRetransmissionsLateInThisBalancer(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(s *openingScenario)
		want int
	}{
		"the upstream does not answer, others do": {want: 2, run: func(s *openingScenario) {
			s.open(0, 0)
			s.open(1, 20)
			s.answer(1, 25)
			s.open(0, 200)
			s.open(2, 300)
			s.answer(2, 305)
			s.open(0, 600)
		}},
		"answers arrive all the time": {want: 1, run: func(s *openingScenario) {
			s.open(0, 0)
			for i := range 7 {
				s.open(1+i, 1+25*i)
				s.answer(1+i, 6+25*i)
			}
			s.open(0, 200)
		}},
		"the opening and its copies wait in the socket": {run: func(s *openingScenario) {
			s.open(1, 0)
			s.answer(1, 5)
			// The process stands still from 10 ms to 710 ms. The opening arrives at
			// 20 ms, its copies at 220 ms and 620 ms.
			s.read(0, bvflow.PhaseOpening, 10, 710)
			s.read(0, bvflow.PhaseOpening, 10, 710)
			s.read(0, bvflow.PhaseOpening, 10, 710)
		}},
		"the opening waits in the socket, a copy is read later": {run: func(s *openingScenario) {
			s.openLate(0, 10, 190)
			s.open(1, 191)
			s.answer(1, 196)
			s.open(0, 220)
		}},
		"several copies of an unanswered opening wait in the socket": {want: 1, run: func(s *openingScenario) {
			s.open(0, 0)
			s.open(1, 10)
			s.answer(1, 15)
			s.read(0, bvflow.PhaseOpening, 100, 710)
			s.read(0, bvflow.PhaseOpening, 100, 710)
			s.router.Sent(s.at(711), s.at(712), s.packets[0])
		}},
		"the balancer's own link delays all packets that it sends": {run: func(s *openingScenario) {
			for i := range 6 {
				s.open(i, 20*i)
			}
			for i := range 6 {
				s.open(i, 200+20*i) // Callers retransmit after 200 ms.
			}
			for i := range 6 {
				s.answer(i, 305+20*i) // The answers to the first copies.
			}
		}},
		"a peer that forwards packets is slow": {run: func(s *openingScenario) {
			s.throughPeer(func() { s.open(0, 0) })
			s.open(1, 20)
			s.answer(1, 25)
			s.throughPeer(func() { s.open(0, 200); s.answer(0, 305) })
		}},
		"a peer forwards packets in time, the upstream does not answer": {want: 1, run: func(s *openingScenario) {
			s.throughPeer(func() { s.open(0, 0); s.open(1, 20); s.answer(1, 25); s.open(0, 200) })
		}},
		"the answers wait in the balancer's own link": {run: func(s *openingScenario) {
			s.open(1, 0)
			s.open(0, 100)
			s.answer(1, 305)
			s.open(0, 300)
			s.answer(0, 405)
		}},
		"an answer that waits in another socket is read late": {run: func(s *openingScenario) {
			s.open(0, 0)
			s.open(1, 10)
			s.answer(1, 15)
			// The answer to the first opening arrives at 20 ms. The copy before it waits
			// in the same socket until 500 ms.
			s.read(0, bvflow.PhaseOpening, 10, 500)
			s.read(0, bvflow.PhaseEstablished, 10, 500)
		}},
		"the opening is decided but not sent": {run: func(s *openingScenario) {
			s.read(0, bvflow.PhaseOpening, 0, 0)
			s.open(1, 20)
			s.answer(1, 25)
			s.open(0, 200)
		}},
		"sending the opening takes long": {run: func(s *openingScenario) {
			s.read(0, bvflow.PhaseOpening, 0, 0)
			s.open(1, 20)
			s.answer(1, 25)
			s.router.Sent(s.at(1), s.at(190), s.packets[0])
			s.open(0, 200)
		}},
		"the answer may be to an earlier copy": {run: func(s *openingScenario) {
			s.open(1, 0)
			s.open(0, 100)
			s.open(1, 200)
			s.answer(1, 205) // The answer to the copy of 0 ms.
			s.open(0, 300)
		}},
		"the time of arrival is not known": {run: func(s *openingScenario) {
			s.open(0, 0)
			s.open(1, 20)
			s.answer(1, 25)
			s.router.Route(s.at(200), s.packets[0], Trail{}, Record{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOpeningScenario(t)
			c.run(s)
			assert.Equal(t, c.want, s.counter.count, "copies that count as unanswered")
		})
	}
}

// TestAnsweredOfRemovedPeers guards against state that is kept for balancers which
// are no longer published.
func TestAnsweredOfRemovedPeers(t *testing.T) {
	s := newOpeningScenario(t)
	s.open(0, 0)
	s.answer(0, 5)
	s.throughPeer(func() { s.open(1, 10); s.answer(1, 15) })
	require.Len(t, s.router.answered, 2)
	s.router.SetSnapshot(s.at(20), Snapshot{State: bvmember.StateActive})
	assert.Len(t, s.router.answered, 1)
}
