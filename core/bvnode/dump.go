package bvnode

import (
	"encoding/hex"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
)

// Dump is the state of a node in readable form.
type Dump struct {
	Node         string              `json:"node"`
	Zone         string              `json:"zone"`
	Group        string              `json:"group"`
	State        string              `json:"state"`
	Incarnation  uint64              `json:"incarnation"`
	Revision     uint64              `json:"revision"`
	Hash         string              `json:"hash"`
	BaseRevision uint64              `json:"baseRevision"`
	Waiting      bool                `json:"waitingForRefresh"` // For a current configuration after a pause.
	ShareInUse   bool                `json:"shareInUse"`
	Flows        int                 `json:"flows"`
	MaxFlows     int                 `json:"maxFlows"`
	Unpushed     int                 `json:"unpushedRecords"`
	PlatformAge  string              `json:"platformAge,omitempty"`
	Peers        []PeerDump          `json:"peers"`
	Upstreams    []UpstreamDump      `json:"upstreams"`
	Findings     []bvfinding.Finding `json:"findings,omitempty"`
}

// PeerDump is the node's view of a peer.
type PeerDump struct {
	Node         string `json:"node"`
	Zone         string `json:"zone"`
	Alive        bool   `json:"alive"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	BaseRevision uint64 `json:"baseRevision"`
	InSync       bool   `json:"inSync"`
}

// UpstreamDump is the node's view of an upstream.
type UpstreamDump struct {
	ID        string `json:"id"`
	VM        string `json:"vm"`
	Service   string `json:"service"`
	Zone      string `json:"zone"`
	Tunnel    string `json:"tunnel"`
	Leaving   bool   `json:"leaving"`
	Retired   bool   `json:"retired"`   // No longer in the configuration.
	OpenFlows int    `json:"openFlows"` // Counts the flows that this node owns.
}

// Dump returns the node's state.
func (n *Node) Dump(now time.Time) Dump {
	v := n.store.Version()
	h := n.members.OwnHeartbeat(now)
	d := Dump{
		Node: n.options.Node, Zone: n.options.Zone, Group: n.options.Group,
		State: n.members.State().String(), Incarnation: n.members.Incarnation(),
		Revision: v.Revision, Hash: hex.EncodeToString(v.Hash[:]), BaseRevision: h.BaseRevision,
		Waiting: now.Before(n.refresh.deadline), ShareInUse: n.shareEnabled,
		Flows: n.table.Len(), MaxFlows: n.table.Max(), Unpushed: n.sweeper.Unacknowledged(),
		PlatformAge: platformAge(h.PlatformAge),
		Findings:    n.findings.list.Sorted(),
	}
	for _, p := range n.members.Peers() {
		d.Peers = append(d.Peers, PeerDump{
			Node: p.Name, Zone: p.Zone, Alive: p.Alive, State: p.State.String(),
			Revision: p.Version.Revision, BaseRevision: p.BaseRevision, InSync: p.InSync,
		})
	}
	if c, ok := n.store.Current(); ok {
		for _, u := range c.Upstreams {
			d.Upstreams = append(d.Upstreams, n.upstreamDump(u, false))
		}
	}
	for _, u := range n.retired {
		d.Upstreams = append(d.Upstreams, n.upstreamDump(u, true))
	}
	return d
}

// platformAge formats the time since the last platform contact, or returns "" if
// there was none.
func platformAge(d time.Duration) string {
	if d >= bvmember.NoContact {
		return ""
	}
	return d.Round(time.Millisecond).String()
}

func (n *Node) upstreamDump(u bvconfig.Upstream, retired bool) UpstreamDump {
	return UpstreamDump{
		ID: hex.EncodeToString(idBytes(u.ID())), VM: u.Name, Service: u.Service, Zone: u.Zone,
		Tunnel: u.Tunnel.String(), Leaving: u.Leaving, Retired: retired, OpenFlows: n.limiter.OpenFlows(u.ID()),
	}
}

func idBytes(id bvconfig.UpstreamID) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(id >> (56 - 8*i))
	}
	return b
}

// Explain returns what this node does with packets of the flow, and why.
func (n *Node) Explain(now time.Time, t bvflow.Tuple) bvroute.Explanation {
	return n.router.Explain(now, t)
}

// Status is a summary of the state, for a quick comparison of several nodes.
type Status struct {
	Node         string `json:"node"`
	Zone         string `json:"zone"`
	Group        string `json:"group"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	Hash         string `json:"hash"`
	BaseRevision uint64 `json:"baseRevision"`
	// ConfigAge is the time since the configuration came into force here,
	// PlatformAge the time since the last contact with the platform. They are
	// absent if there was none yet.
	ConfigAge   string   `json:"pictureAge,omitempty"`
	PlatformAge string   `json:"platformAge,omitempty"`
	Flows       int      `json:"flows"`
	Dead        []string `json:"dead,omitempty"`
}

// Status returns a summary of the node's state.
func (n *Node) Status(now time.Time) Status {
	v := n.store.Version()
	h := n.members.OwnHeartbeat(now)
	s := Status{
		Node: n.options.Node, Zone: n.options.Zone, Group: n.options.Group,
		State: n.members.State().String(), Revision: v.Revision,
		Hash: hex.EncodeToString(v.Hash[:4]), BaseRevision: h.BaseRevision,
		PlatformAge: platformAge(h.PlatformAge), Flows: n.table.Len(),
	}
	if g, ok := n.store.At(v.Revision); ok {
		s.ConfigAge = now.Sub(g.Since).Round(time.Millisecond).String()
	}
	for _, p := range n.members.Peers() {
		if !p.Alive && p.Incarnation > 0 {
			s.Dead = append(s.Dead, p.Name)
		}
	}
	return s
}
