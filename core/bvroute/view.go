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
// pointers and no padding, so that it hashes fast as a map key.
type address struct {
	ip       [16]byte
	port     uint16
	protocol uint16
}

func addressOf(a netip.AddrPort, p bvflow.Protocol) address {
	return address{a.Addr().As16(), a.Port(), uint16(p)}
}

// target is an upstream of the configuration, the retired list or a base list.
type target struct {
	id           bvconfig.UpstreamID
	name         string
	tunnel       netip.AddrPort
	service      *service
	zone         int    // Index into view.zones, or -1.
	blockReason  Reason // Why no packet may be sent to it; ReasonNone if it is usable.
	acceptsFlows bool
}

// upstreamList holds the upstreams of a service in one zone.
type upstreamList struct {
	candidates []bvpick.Candidate
	targets    []*target
}

func (l *upstreamList) add(t *target, weight uint32) {
	l.candidates = append(l.candidates, bvpick.Upstream(t.id, weight))
	l.targets = append(l.targets, t)
}

// picks holds the candidates for a pick by zone and then by upstream. Both
// slices are parallel to view.zones.
type picks struct {
	zones []bvpick.Candidate
	lists []upstreamList
}

func (p *picks) equal(q *picks) bool {
	return slices.Equal(p.zones, q.zones) && slices.EqualFunc(p.lists, q.lists, func(a, b upstreamList) bool {
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
	name          string
	vni           uint32
	class         bvconfig.Class
	idempotent    bool
	current       picks   // Upstreams that accept new flows.
	bases         []picks // Parallel to Snapshot.Bases.
	baseIsCurrent bool    // The only base list equals the current list.
	// allBaseZones holds all zones of the first base list, including those
	// removed from it.
	allBaseZones []bvpick.Candidate
	// configsDiffer is true while some peer runs another configuration, which
	// may still contain the zones removed from the base list.
	configsDiffer bool
}

// node is a balancer, possibly this one.
type node struct {
	Peer
	zone int // Index into view.zones, or -1.
}

type zone struct {
	name         string
	outOfService bool
	active       []bvpick.Candidate
	nodes        []node // Parallel to active.
	joining      []node
}

// view is a compiled [Snapshot].
type view struct {
	self          bvconfig.NodeID
	selfZone      int // Index into zones, or -1.
	state         bvmember.State
	hasher        bvflow.Hasher
	zones         []zone
	services      map[address]*service
	byName        map[string]*service
	upstreams     map[bvconfig.UpstreamID]*target
	peers         map[bvconfig.NodeID]node
	synced        bool // This node is in sync with all active peers.
	agreed        bool // All peers run the same configuration.
	bootstrapping bool // The whole group started together with this node.
	disabled      mechanism
	newestPeer    *node  // Peer with the newest configuration; nil if none is newer than this node's.
	ownershipHash uint64 // See fingerprint.
}

// removals holds the zones and upstreams removed from the list of each base
// revision; see [Base].
type removals map[uint64]*removal

type removal struct {
	zones     map[string]bool
	upstreams map[bvconfig.UpstreamID]bool
}

func (m removals) forRevision(revision uint64) *removal {
	if m[revision] == nil {
		m[revision] = &removal{map[string]bool{}, map[bvconfig.UpstreamID]bool{}}
	}
	return m[revision]
}

// owner returns the highest-ranked active balancer of a zone, or nil.
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

// placementZones returns the configured zone of k and its placing zone, whose
// owner decides: the highest-ranked zone with an active balancer. If no
// upstream accepts new flows, configured is -1 and placing is the home zone.
// Either is -1 if there is none.
func (v *view) placementZones(s *service, k bvflow.Key) (configured, placing int) {
	configured = s.current.zone(k)
	placing = configured
	for placing >= 0 && len(v.zones[placing].active) == 0 {
		placing = bvpick.Next(k, s.current.zones, placing)
	}
	if configured < 0 {
		placing = v.homeZone(s, k)
	}
	return configured, placing
}

// homeZone returns the zone whose owner stores every exception of k. This is
// the base zone. If all zones have been removed from the base list, or the
// base zone has no active balancer, it is the highest-ranked zone of the whole
// list with an active balancer. It is -1 if there is none.
func (v *view) homeZone(s *service, k bvflow.Key) int {
	if len(s.bases) == 0 {
		return -1
	}
	zone := s.bases[0].zone(k)
	if zone >= 0 && len(v.zones[zone].active) > 0 {
		return zone
	}
	zone = bvpick.Best(k, s.allBaseZones)
	for zone >= 0 && len(v.zones[zone].active) == 0 {
		zone = bvpick.Next(k, s.allBaseZones, zone)
	}
	return zone
}

// basePick returns the pick for k at the first base, and its zone.
func (s *service) basePick(k bvflow.Key) (*target, int) {
	if len(s.bases) == 0 {
		return nil, -1
	}
	z := s.bases[0].zone(k)
	return s.bases[0].upstreamIn(k, z), z
}

// previousZone returns the zone of k in the whole first base list, if that
// zone was removed from the list and some peer may not have applied the
// removal yet. It returns -1 otherwise.
func (s *service) previousZone(k bvflow.Key) int {
	if !s.configsDiffer || len(s.bases) == 0 {
		return -1
	}
	if z := bvpick.Best(k, s.allBaseZones); z != s.bases[0].zone(k) {
		return z
	}
	return -1
}

// isException reports whether a flow k at u is an exception: u differs from
// the pick at any base in use, or the flow has a previous zone.
func (s *service) isException(k bvflow.Key, u bvconfig.UpstreamID) bool {
	if s.previousZone(k) >= 0 {
		return true
	}
	for i := range s.bases {
		if t := s.bases[i].upstream(k); t == nil || t.id != u {
			return true
		}
	}
	return len(s.bases) == 0
}
