package bvnode

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvretry"
	"balsamvane/core/bvsync"
)

const (
	// pullRetry is the time after which an unanswered request is repeated.
	pullRetry = 3 * time.Second
	// firstRetry is the first delay after a failed request.
	firstRetry = 200 * time.Millisecond
	// recordBytesPerRequest bounds one answer to a sync request.
	recordBytesPerRequest = 1200
)

// pull is the state of the sync from one peer.
type pull struct {
	cursor  uint64
	next    time.Time // When to send the next request.
	done    bool
	backoff *bvretry.Backoff
	token   uint64 // Token of the last request; answers to earlier ones don't advance the sync.
}

// pullRecords requests the exceptions that this node needs from active peers,
// and spaces the requests so that all answers stay under the byte budget.
func (n *Node) pullRecords(now time.Time) []Action {
	if n.configuredAt.IsZero() {
		return nil
	}
	if !n.enabled(recordTransfer) {
		n.markAllSynced()
		return nil
	}
	var as []Action
	for _, p := range n.members.Peers() {
		if !p.Alive || p.InSync || p.State == bvmember.StateJoining || p.State == bvmember.StateLeaving && n.pulls[p.Node] == nil {
			continue
		}
		q := n.pulls[p.Node]
		if q == nil {
			q = &pull{backoff: bvretry.NewBackoff(firstRetry, pullRetry, n.options.Seed^uint64(p.Node))}
			n.pulls[p.Node] = q
		}
		if q.done || now.Before(q.next) {
			continue
		}
		q.next = now.Add(pullRetry)
		q.token = n.nextToken()
		as = append(as, RequestSync{
			From: p.Node, Control: p.Control, Cursor: q.cursor, Limit: recordBytesPerRequest, Token: q.token,
		})
	}
	return as
}

// markAllSynced marks the node in sync with all live peers.
func (n *Node) markAllSynced() {
	for _, p := range n.members.Peers() {
		if p.Alive && !p.InSync {
			n.members.MarkSynced(p.Node)
			n.snapshotOutdated = true
		}
	}
}

func (n *Node) syncReceived(now time.Time, ev SyncReceived) {
	n.storeRecords(now, ev.Records)
	ws := make([]bvlimit.WarmState, 0, len(ev.Warm))
	for _, w := range ev.Warm {
		ws = append(ws, bvlimit.WarmState{Upstream: w.Upstream, Age: w.Age})
	}
	n.limiter.MergeWarmStates(now, ws)
	if n.enabled(transferBaseRemovals) {
		n.recordBaseRemovals(ev.BaseRemovals)
	}
	q := n.pulls[ev.From]
	// The peer may have placed flows since it answered an earlier request.
	if q == nil || q.token != ev.Token && n.enabled(syncTokens) {
		return
	}
	q.token = 0
	q.cursor = ev.Cursor
	q.backoff.Reset()
	q.next = now.Add(n.requestDelay(len(ev.Records)))
	if ev.Done {
		q.done = true
		n.adoptBase(ev.BaseRevision)
		n.members.MarkSynced(ev.From)
		n.snapshotOutdated = true
	}
}

// requestDelay returns the time until the next request: the time that the
// answer's bytes take under the byte budget, which is divided among the peers
// that are pulled from.
func (n *Node) requestDelay(records int) time.Duration {
	pending := 0
	for _, q := range n.pulls {
		if !q.done {
			pending++
		}
	}
	perSecond := max(n.syncBytes()/max(pending, 1), 1)
	return time.Duration(records*bvsync.RecordBytes+bvsync.CallOverheadBytes) * time.Second / time.Duration(perSecond)
}

func (n *Node) syncFailed(now time.Time, from bvconfig.NodeID) {
	if q := n.pulls[from]; q != nil {
		q.next = now.Add(q.backoff.Next())
	}
}

func (n *Node) storeRecords(now time.Time, rs []FlowRecord) {
	for _, r := range rs {
		if err := n.router.Store(now, bvflow.Key(r.Key), r.Kind, r.Upstream); err != nil {
			// The table is full; the flow uses its base pick instead.
			return
		}
	}
}

// pushRecords pushes the exceptions that peers need now.
func (n *Node) pushRecords(now time.Time) []Action {
	if n.configuredAt.IsZero() || n.members.State() == bvmember.StateJoining || !n.enabled(recordTransfer) {
		return nil
	}
	var as []Action
	for _, b := range n.sweeper.Next(now) {
		p, ok := n.members.Peer(b.To)
		if !ok || !p.Alive {
			continue
		}
		as = append(as, PushRecords{To: b.To, Control: p.Control, Sequence: b.Sequence, Records: flowRecords(b.Records)})
	}
	return as
}

func flowRecords(rs []bvsync.Record) []FlowRecord {
	out := make([]FlowRecord, 0, len(rs))
	for _, r := range rs {
		out = append(out, FlowRecord{Key: r.Key, Kind: r.Kind, Upstream: r.Upstream})
	}
	return out
}

// SyncRequest answers a peer's [RequestSync] with the records from cursor on,
// at most limit bytes of them. A peer that is not alive in this node's view is not
// in any replica set yet. It gets an empty, unfinished answer and asks again;
// otherwise it would mark itself in sync without having received any record.
func (n *Node) SyncRequest(now time.Time, from bvconfig.NodeID, cursor uint64, limit int) SyncReceived {
	if p, ok := n.members.Peer(from); (!ok || !p.Alive) && n.enabled(syncLivePeersOnly) {
		return SyncReceived{From: n.self, Cursor: cursor}
	}
	records, next, done := n.sweeper.Answer(now, from, cursor, limit)
	a := SyncReceived{From: n.self, Records: flowRecords(records), Cursor: next, Done: done}
	if done {
		for _, w := range n.limiter.WarmStates(now) {
			a.Warm = append(a.Warm, WarmState{Upstream: w.Upstream, Age: w.Age})
		}
		a.BaseRemovals = n.ownBaseRemovals()
		if b, ok := n.store.Base(); ok {
			a.BaseRevision = b.Config.Version.Revision
		}
	}
	return a
}
