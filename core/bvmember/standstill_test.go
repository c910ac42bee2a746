package bvmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestHeartbeatsReadLate guards against peers that are marked dead because this
// process stood still for less than a pause, while their heartbeats waited in its
// socket behind those of others. It also guards against dead peers that stay alive
// in a process that stands still again and again.
func TestHeartbeatsReadLate(t *testing.T) {
	c := testConfig(1, "a", "a", "a")
	waiting, other := c.Balancers[1].ID(), c.Balancers[2].ID()
	heartbeat := Heartbeat{Node: waiting, Incarnation: 1, State: StateActive}
	otherHeartbeat := Heartbeat{Node: other, Incarnation: 1, State: StateActive}
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	for name, run := range map[string]func(m *Members) (alive, want bool){
		"a tick comes before the waiting heartbeats": func(m *Members) (alive, want bool) {
			// The heartbeats of 500 ms and 1,000 ms are lost, those of 1,500 ms and
			// 2,000 ms wait.
			tickUntil(m, at(1200))
			m.Tick(at(2050))
			m.ReceiveHeartbeat(at(2051), heartbeat)
			m.Tick(at(2100))
			p, _ := m.Peer(waiting)
			return p.Alive, true
		},
		"a heartbeat of another peer is read first": func(m *Members) (alive, want bool) {
			tickUntil(m, at(1200))
			m.ReceiveHeartbeat(at(2050), otherHeartbeat)
			m.Tick(at(2051))
			m.ReceiveHeartbeat(at(2052), heartbeat)
			p, _ := m.Peer(waiting)
			return p.Alive, true
		},
		"no heartbeat waits": func(m *Members) (alive, want bool) {
			tickUntil(m, at(1200))
			m.Tick(at(2050))
			m.Tick(at(2150))
			p, _ := m.Peer(waiting)
			return p.Alive, false
		},
		"the process stands still between all ticks": func(m *Members) (alive, want bool) {
			for ms := 900; ms <= 3600; ms += 900 {
				m.Tick(at(ms))
			}
			p, _ := m.Peer(waiting)
			return p.Alive, false
		},
		"the process runs": func(m *Members) (alive, want bool) {
			tickUntil(m, at(2000))
			p, _ := m.Peer(waiting)
			return p.Alive, false
		},
	} {
		m := New(c.Balancers[0].ID(), "a", 1, Options{})
		m.SetBalancers(startTime, c.Balancers)
		m.ReceiveHeartbeat(startTime, heartbeat)
		m.ReceiveHeartbeat(startTime, otherHeartbeat)
		alive, want := run(m)
		assert.Equal(t, want, alive, name)
	}
}

// tickUntil sends the ticks of every 100 ms up to a time.
func tickUntil(m *Members, end time.Time) {
	for at := startTime; !at.After(end); at = at.Add(100 * time.Millisecond) {
		m.Tick(at)
	}
}
