package bvdaemon

import (
	"maps"
	"sync"
	"sync/atomic"

	"balsamvane/core/bvconfig"
)

// peerTable holds the highest incarnation received from each peer. Lookups take
// no lock, because there is one for every forwarded packet.
type peerTable struct {
	mu   sync.Mutex
	seen atomic.Pointer[map[bvconfig.NodeID]uint64]
}

func newPeerTable() *peerTable {
	t := &peerTable{}
	t.seen.Store(&map[bvconfig.NodeID]uint64{})
	return t
}

// maxPeers bounds the table, which is cleared when it is full. Entries come only
// from packets with a valid MAC; entries of replaced nodes are not removed before.
const maxPeers = 4096

// accept records incarnation i of node n and reports whether it is at least as
// high as all those recorded before.
func (t *peerTable) accept(n bvconfig.NodeID, i uint64) bool {
	if v, ok := (*t.seen.Load())[n]; ok && i <= v {
		return i == v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.seen.Load()
	if v, ok := old[n]; ok && i < v {
		return false
	}
	next := map[bvconfig.NodeID]uint64{}
	if len(old) < maxPeers {
		next = maps.Clone(old)
	}
	next[n] = i
	t.seen.Store(&next)
	return true
}
