package bvdaemon

import (
	"maps"
	"sync"
	"sync/atomic"

	"balsamvane/core/bvconfig"
)

// peerTable keeps the highest incarnation seen of each peer. Reading takes no
// lock, since every handed-on packet reads.
type peerTable struct {
	mu   sync.Mutex
	seen atomic.Pointer[map[bvconfig.NodeID]uint64]
}

func newPeerTable() *peerTable {
	t := &peerTable{}
	t.seen.Store(&map[bvconfig.NodeID]uint64{})
	return t
}

// maxPeers bounds the table. Entries come only from packets with a valid MAC;
// nodes that were replaced stay until the bound.
const maxPeers = 4096

// accept reports whether incarnation i of n is not older than one seen before.
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
