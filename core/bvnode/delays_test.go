package bvnode

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
)

// messageDelays delays, reorders and duplicates control messages. The seed is fixed.
type messageDelays struct {
	random *rand.Rand
	queue  []controlMessage
}

// controlMessage is an event in transit to a process.
type controlMessage struct {
	at   time.Time
	to   string
	node *Node
	ev   Event
	then func() // Nil, or sends the answer.
}

func newMessageDelays(seed uint64) *messageDelays {
	return &messageDelays{random: rand.New(rand.NewPCG(seed, seed))}
}

// sendControl sends a control message to a node, with the configured delays if
// there are any. then is called when the node has handled it, and may be nil.
func (g *cluster) sendControl(to string, ev Event, then func()) {
	if g.delays == nil {
		g.handle(to, ev)
		if then != nil {
			then()
		}
		return
	}
	n, random := g.nodes[to], g.delays.random
	first := g.now.Add(time.Duration(random.Int64N(int64(time.Second))))
	g.delays.queue = append(g.delays.queue, controlMessage{first, to, n, ev, then})
	if random.IntN(3) == 0 {
		again := first.Add(time.Duration(random.Int64N(int64(20 * time.Second))))
		g.delays.queue = append(g.delays.queue, controlMessage{again, to, n, ev, then})
	}
}

// deliver delivers the messages that are due. A connection ends with its process,
// so only heartbeats reach the next process of the node.
func (g *cluster) deliver() {
	if g.delays == nil {
		return
	}
	var due []controlMessage
	g.delays.queue = slices.DeleteFunc(g.delays.queue, func(m controlMessage) bool {
		if m.at.After(g.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b controlMessage) int { return a.at.Compare(b.at) })
	for _, m := range due {
		if _, ok := m.ev.(HeartbeatReceived); ok || g.nodes[m.to] == m.node {
			g.handle(m.to, m.ev)
			if m.then != nil {
				m.then()
			}
		}
	}
}

// partitioned reports whether balancers are partitioned, or not yet in sync again
// after a partition.
func (t *simulation) partitioned() bool {
	if !t.faults.partitions() {
		return false
	}
	for _, from := range t.names {
		if t.nodes[from].members.State() != bvmember.StateActive {
			return true
		}
		for _, to := range t.names {
			p, published := t.nodes[from].members.Peer(bvconfig.NodeIDOf(to))
			if t.linkDown(from, to) || published && !(p.Alive && p.InSync) {
				return true
			}
		}
	}
	return false
}
