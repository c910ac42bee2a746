package bvroute

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// maxMembers is the maximum number of members: the owner and its replicas.
const maxMembers = MaxReplicas + 1

// members lists the balancers that store a flow's exception: first the owner,
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
// balancer of the placing zone, the first two of the home zone, and joining
// balancers that rank above the second ones. Balancers without an entry for
// the flow forward its packets to the owner in the home zone, whatever their
// configuration. The second balancer there takes over if the first one fails
// while a new configuration changes the flow's zone. While configurations
// differ, the owner in a zone removed from the base list is a member as well.
// So is the owner in the base zone of each further base revision.
func (v *view) members(s *service, k bvflow.Key) (m members) {
	_, placing := v.placementZones(s, k)
	zones := [2]int{placing, v.homeZone(s, k)}
	var secondRanked [2]*node
	for i, z := range zones {
		secondRanked[i] = v.addFirstTwo(&m, k, z)
	}
	m.add(v.owner(k, s.previousZone(k)))
	for i := 1; i < len(s.bases); i++ {
		m.add(v.owner(k, s.bases[i].zone(k)))
	}
	for i, z := range zones {
		if z >= 0 {
			m.add(v.joiner(k, z, secondRanked[i]))
		}
	}
	return m
}

// addFirstTwo adds the two highest-ranked balancers of a zone and returns the
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

// joiner returns the highest-ranked joining balancer of a zone if it ranks
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

// newRecord returns a record that lists the live members other than this node,
// in ascending order of their configuration versions. The last one delivers
// the packet, and the upstream may be missing from older configurations.
func (v *view) newRecord(s *service, k bvflow.Key) (r Record) {
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
