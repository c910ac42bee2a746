package bvroute

import (
	"net/netip"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// address is a service address, with IPv4 in its IPv6-mapped form. It has no
// pointers and no gaps, so that it hashes fast.
type address struct {
	ip       [16]byte
	port     uint16
	protocol uint16
}

func addressOf(a netip.AddrPort, p bvflow.Protocol) address {
	return address{a.Addr().As16(), a.Port(), uint16(p)}
}

// target is a known upstream.
type target struct {
	id       bvconfig.UpstreamID
	name     string
	tunnel   netip.AddrPort
	service  *service
	zone     int    // Index into view.zones, or -1.
	obstacle Reason // Why no packet may be sent to it; ReasonNone if it is usable.
	takesNew bool
}

// list holds the upstreams of a service in one zone.
type list struct {
	candidates []bvpick.Candidate
	targets    []*target
}

func (l *list) add(t *target, weight uint32) {
	l.candidates = append(l.candidates, bvpick.Upstream(t.id, weight))
	l.targets = append(l.targets, t)
}

// picks is a choice by zone and then by upstream; both slices run parallel to
// view.zones.
type picks struct {
	zones []bvpick.Candidate
	lists []list
}

func (p *picks) equal(q *picks) bool {
	return slices.Equal(p.zones, q.zones) && slices.EqualFunc(p.lists, q.lists, func(a, b list) bool {
		return slices.Equal(a.candidates, b.candidates) && slices.Equal(a.targets, b.targets)
	})
}

func (p *picks) zone(k bvflow.Key) int { return bvpick.Best(k, p.zones) }

func (p *picks) upstreamIn(k bvflow.Key, zone int) *target {
	if zone < 0 {
		return nil
	}
	if i := bvpick.Best(k, p.lists[zone].candidates); i >= 0 {
		return p.lists[zone].targets[i]
	}
	return nil
}

func (p *picks) upstream(k bvflow.Key) *target { return p.upstreamIn(k, p.zone(k)) }

type service struct {
	name       string
	vni        uint32
	class      bvconfig.Class
	idempotent bool
	current    picks
	bases      []picks
	quiet      bool // There is one base list, and it equals the current one.
	// homes ranks all zones of the first base list, with those that have left
	// it.
	homes []bvpick.Candidate
	// disagreed is true while some peer runs another configuration, which may
	// still have the zones that have left the base list.
	disagreed bool
}

// node is a balancer, possibly this one.
type node struct {
	Peer
	zone int
}

type zone struct {
	name    string
	out     bool
	active  []bvpick.Candidate
	nodes   []node // Parallel to active.
	joining []node
}

// view is a compiled [Snapshot].
type view struct {
	self      bvconfig.NodeID
	selfZone  int
	state     bvmember.State
	hasher    bvflow.Hasher
	zones     []zone
	services  map[address]*service
	byName    map[string]*service
	upstreams map[bvconfig.UpstreamID]*target
	peers     map[bvconfig.NodeID]node
	synced    bool // With all active peers.
	agreed    bool // All peers run the same configuration.
	founding  bool // The group has started together with this node.
	disabled  mechanism
	newest    *node // The peer with the highest configuration, if that is above this node's.
	ownership uint64
}

// removals remembers, for each base revision, the zones and upstreams that
// have left its list; see [Base].
type removals map[uint64]*removal

type removal struct {
	zones     map[string]bool
	upstreams map[bvconfig.UpstreamID]bool
}

func (m removals) of(revision uint64) *removal {
	if m[revision] == nil {
		m[revision] = &removal{map[string]bool{}, map[bvconfig.UpstreamID]bool{}}
	}
	return m[revision]
}

// owner returns the first-ranked active balancer of a zone, or nil.
func (v *view) owner(k bvflow.Key, zone int) *node {
	if zone < 0 {
		return nil
	}
	z := &v.zones[zone]
	if i := bvpick.Best(k, z.active); i >= 0 {
		return &z.nodes[i]
	}
	return nil
}

// placing returns the configured zone of k, and the zone whose owner decides:
// the first one in rank that has an active balancer. Where no upstream takes
// new flows, the base list ranks the zones. Both are -1 if there is none.
func (v *view) placing(s *service, k bvflow.Key) (configured, placing int) {
	configured = s.current.zone(k)
	placing = configured
	for placing >= 0 && len(v.zones[placing].active) == 0 {
		placing = bvpick.Next(k, s.current.zones, placing)
	}
	if configured < 0 {
		placing = v.home(s, k)
	}
	return configured, placing
}

// home returns the zone whose owner knows every exception of k: the base zone
// or, where the list has lost all zones or the zone has no active balancer,
// the first one of the whole list that has one. It is -1 if there is none.
func (v *view) home(s *service, k bvflow.Key) int {
	if len(s.bases) == 0 {
		return -1
	}
	zone := s.bases[0].zone(k)
	if zone >= 0 && len(v.zones[zone].active) > 0 {
		return zone
	}
	zone = bvpick.Best(k, s.homes)
	for zone >= 0 && len(v.zones[zone].active) == 0 {
		zone = bvpick.Next(k, s.homes, zone)
	}
	return zone
}

// basePick returns the upstream that k has in the base list, and its zone.
func (s *service) basePick(k bvflow.Key) (*target, int) {
	if len(s.bases) == 0 {
		return nil, -1
	}
	z := s.bases[0].zone(k)
	return s.bases[0].upstreamIn(k, z), z
}

// formerHome returns the zone of k in the whole first base list, if that zone
// has left the list and some peer may not know it yet. It is -1 otherwise.
func (s *service) formerHome(k bvflow.Key) int {
	if !s.disagreed || len(s.bases) == 0 {
		return -1
	}
	if z := bvpick.Best(k, s.homes); z != s.bases[0].zone(k) {
		return z
	}
	return -1
}

// exception reports whether u differs from the pick at any base in use.
func (s *service) exception(k bvflow.Key, u bvconfig.UpstreamID) bool {
	if s.formerHome(k) >= 0 {
		return true
	}
	for i := range s.bases {
		if t := s.bases[i].upstream(k); t == nil || t.id != u {
			return true
		}
	}
	return len(s.bases) == 0
}
