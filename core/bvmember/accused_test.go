package bvmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAccusedPeer guards against a zone that goes on handing packets to a dead
// node of another zone although that node's neighbours have given it up, and
// against an accusation that outlives the restart of the accused.
func TestAccusedPeer(t *testing.T) {
	run := func(o Options) time.Duration {
		f := newFleet(o, "a", "b", "b", "b")
		f.run(5 * time.Second)
		f.paused[3] = true
		died := f.now
		for {
			require.Less(t, f.now.Sub(died), 10*time.Second)
			if p, _ := f.nodes[0].Peer(f.nodes[3].self); !p.Alive {
				return f.now.Sub(died)
			}
			f.step()
		}
	}
	assert.LessOrEqual(t, run(Options{}), 3100*time.Millisecond)
	assert.Greater(t, run(Options{ignoreAccusations: true}), 3100*time.Millisecond)

	m := New(1, "a", 1, Options{})
	c := config(1, "a", "b", "b")
	m.SetBalancers(begin, c.Balancers)
	accuser, accused := c.Balancers[1].ID(), c.Balancers[2].ID()
	m.Heartbeat(begin, Heartbeat{Node: accused, Incarnation: 1, State: StateActive})
	m.Heartbeat(begin, Heartbeat{Node: accuser, Incarnation: 1, State: StateActive, Dead: []DeadPeer{{accused, 1}}})
	m.Heartbeat(begin.Add(step), Heartbeat{Node: accused, Incarnation: 2, State: StateActive})
	for at := 2 * step; at < 3*time.Second; at += step {
		m.Heartbeat(begin.Add(at), Heartbeat{Node: accuser, Incarnation: 1, State: StateActive})
		m.Tick(begin.Add(at))
	}
	p, _ := m.Peer(accused)
	assert.True(t, p.Alive)
}
