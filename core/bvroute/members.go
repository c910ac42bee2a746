package bvroute

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// maxMembers is the owner and its replicas.
const maxMembers = MaxReplicas + 1

// members are the balancers that hold a flow's exception: first the owner,
// then the replica set.
type members struct {
	ids   [maxMembers]bvconfig.NodeID
	count int
}

func (m *members) contains(n bvconfig.NodeID) bool {
	for _, id := range m.ids[:m.count] {
		if id == n {
			return true
		}
	}
	return false
}

func (m *members) add(n *node) {
	if n != nil && m.count < maxMembers && !m.contains(n.ID) {
		m.ids[m.count] = n.ID
		m.count++
	}
}

// members returns the owner of k and its replica set: the second-ranked
// balancer of the zone, the owner in the base zone, the owner in the
// configured zone, and a joining balancer that ranks above the second. The
// owner in the base zone is the one that every other balancer asks about a
// flow that it does not know, whatever its configuration says.
func (v *view) members(s *service, k bvflow.Key) (m members) {
	configured, placing := v.placing(s, k)
	var second *node
	if placing >= 0 {
		z := &v.zones[placing]
		var order [2]int
		n := bvpick.Rank(k, z.active, order[:])
		m.add(&z.nodes[order[0]])
		if n > 1 {
			second = &z.nodes[order[1]]
			m.add(second)
		}
	}
	for i := range s.bases {
		m.add(v.owner(k, s.bases[i].zone(k)))
	}
	m.add(v.owner(k, configured))
	if placing >= 0 {
		m.add(v.joiner(k, placing, second))
	}
	return m
}

// joiner returns the first-ranked joining balancer of a zone if it ranks
// above second.
func (v *view) joiner(k bvflow.Key, zone int, second *node) *node {
	var best *node
	z := &v.zones[zone]
	for i := range z.joining {
		n := &z.joining[i]
		if (best == nil || outranks(k, n, best)) && (second == nil || outranks(k, n, second)) {
			best = n
		}
	}
	return best
}

func outranks(k bvflow.Key, a, b *node) bool {
	return bvpick.Best(k, []bvpick.Candidate{bvpick.Balancer(a.ID), bvpick.Balancer(b.ID)}) == 0
}

// replicas returns a record's remaining members, without this node.
func (v *view) replicas(s *service, k bvflow.Key) (r Record) {
	m := v.members(s, k)
	for _, id := range m.ids[:m.count] {
		if id != v.self && int(r.Count) < MaxReplicas {
			r.Replicas[r.Count] = id
			r.Count++
		}
	}
	return r
}
