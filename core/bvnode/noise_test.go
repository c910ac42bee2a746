package bvnode

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
)

// noise delays, reorders and duplicates control messages. The seed is fixed.
type noise struct {
	random *rand.Rand
	queue  []message
}

// message is an event on its way to a process.
type message struct {
	at   time.Time
	to   string
	node *Node
	ev   Event
	then func() // Nil, or the answer that follows.
}

func newNoise(seed uint64) *noise { return &noise{random: rand.New(rand.NewPCG(seed, seed))} }

// post brings a control message to a node, through the noise if there is any.
// then is called when the node has handled it, and may be nil.
func (g *group) post(to string, ev Event, then func()) {
	if g.noise == nil {
		g.handle(to, ev)
		if then != nil {
			then()
		}
		return
	}
	n, random := g.nodes[to], g.noise.random
	first := g.now.Add(time.Duration(random.Int64N(int64(time.Second))))
	g.noise.queue = append(g.noise.queue, message{first, to, n, ev, then})
	if random.IntN(3) == 0 {
		again := first.Add(time.Duration(random.Int64N(int64(20 * time.Second))))
		g.noise.queue = append(g.noise.queue, message{again, to, n, ev, then})
	}
}

// deliver hands out the messages that are due. A connection ends with its
// process, so only heartbeats reach the next process of the node.
func (g *group) deliver() {
	if g.noise == nil {
		return
	}
	var due []message
	g.noise.queue = slices.DeleteFunc(g.noise.queue, func(m message) bool {
		if m.at.After(g.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b message) int { return a.at.Compare(b.at) })
	for _, m := range due {
		if _, ok := m.ev.(HeartbeatReceived); ok || g.nodes[m.to] == m.node {
			g.handle(m.to, m.ev)
			if m.then != nil {
				m.then()
			}
		}
	}
}

// splitNow reports whether balancers are parted, or have not met again yet.
func (t *trial) splitNow() bool {
	if !t.row.splits() {
		return false
	}
	for _, from := range t.names {
		if t.nodes[from].members.State() != bvmember.StateActive {
			return true
		}
		for _, to := range t.names {
			p, known := t.nodes[from].members.Peer(bvconfig.NodeIDOf(to))
			if t.cut(from, to) || known && !(p.Alive && p.InSync) {
				return true
			}
		}
	}
	return false
}
