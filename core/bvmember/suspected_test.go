package bvmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSuspectedPeer guards against a zone that keeps forwarding packets to a dead
// node of another zone although that zone's nodes have declared it dead, and
// against a declaration that still counts after the node has restarted.
func TestSuspectedPeer(t *testing.T) {
	run := func(o Options) time.Duration {
		f := newCluster(o, "a", "b", "b", "b")
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
	assert.Greater(t, run(Options{ignoreZoneReports: true}), 3100*time.Millisecond)

	m := New(1, "a", 1, Options{})
	c := testConfig(1, "a", "b", "b")
	m.SetBalancers(startTime, c.Balancers)
	reporter, suspected := c.Balancers[1].ID(), c.Balancers[2].ID()
	m.ReceiveHeartbeat(startTime, Heartbeat{Node: suspected, Incarnation: 1, State: StateActive})
	m.ReceiveHeartbeat(startTime, Heartbeat{Node: reporter, Incarnation: 1, State: StateActive, Dead: []DeadPeer{{suspected, 1}}})
	m.ReceiveHeartbeat(startTime.Add(step), Heartbeat{Node: suspected, Incarnation: 2, State: StateActive})
	for at := 2 * step; at < 3*time.Second; at += step {
		m.ReceiveHeartbeat(startTime.Add(at), Heartbeat{Node: reporter, Incarnation: 1, State: StateActive})
		m.Tick(startTime.Add(at))
	}
	p, _ := m.Peer(suspected)
	assert.True(t, p.Alive)
}
