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
// balancer of the zone, the first two in the home zone, and joining balancers
// that rank above these. The owner in the home zone is the one that every
// other balancer asks about a flow that it does not know, whatever its
// configuration says; the second one there takes over when the first dies
// while a new configuration changes the zone of the flow. While the configurations
// differ, the owner in a zone that has left the base list is a member as well.
func (v *view) members(s *service, k bvflow.Key) (m members) {
	_, placing := v.placing(s, k)
	zones := [2]int{placing, v.home(s, k)}
	var seconds [2]*node
	for i, z := range zones {
		seconds[i] = v.addFirstTwo(&m, k, z)
	}
	m.add(v.owner(k, s.formerHome(k)))
	for i := 1; i < len(s.bases); i++ {
		m.add(v.owner(k, s.bases[i].zone(k)))
	}
	for i, z := range zones {
		if z >= 0 {
			m.add(v.joiner(k, z, seconds[i]))
		}
	}
	return m
}

// addFirstTwo adds the two first-ranked balancers of a zone and returns the
// second.
func (v *view) addFirstTwo(m *members, k bvflow.Key, zone int) (second *node) {
	if zone < 0 {
		return nil
	}
	z := &v.zones[zone]
	var order [2]int
	n := bvpick.Rank(k, z.active, order[:])
	for _, i := range order[:n] {
		m.add(&z.nodes[i])
	}
	if n > 1 {
		second = &z.nodes[order[1]]
	}
	return second
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

// replicas returns a record's remaining members, without this node. They are
// in ascending order of their configurations: the last one sends the packet,
// and the others may not know its upstream yet.
func (v *view) replicas(s *service, k bvflow.Key) (r Record) {
	m := v.members(s, k)
	for _, id := range m.ids[:m.count] {
		n, ok := v.peers[id]
		if !ok || int(r.Count) == MaxReplicas {
			continue
		}
		i := int(r.Count)
		for ; i > 0 && v.peers[r.Replicas[i-1]].Version.Compare(n.Version) > 0; i-- {
			r.Replicas[i] = r.Replicas[i-1]
		}
		r.Replicas[i] = id
		r.Count++
	}
	return r
}
