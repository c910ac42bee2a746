package bvroute

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"

	"github.com/zeebo/xxh3"
)

func newView(self bvconfig.NodeID, selfZone string, p Snapshot, gone removals, disabled mechanism) *view {
	v := &view{
		disabled: disabled, founding: p.Bootstrapping,
		self: self, selfZone: -1, state: p.State, hasher: bvflow.NewHasher(p.Config.HashSeed),
		services: map[address]*service{}, byName: map[string]*service{},
		upstreams: map[bvconfig.UpstreamID]*target{}, peers: map[bvconfig.NodeID]node{},
		synced: true, agreed: true,
	}
	for i, z := range p.Config.Zones {
		v.zones = append(v.zones, zone{name: z.Name, out: z.OutOfService})
		if z.Name == selfZone {
			v.selfZone = i
		}
	}
	v.addNodes(p, selfZone)
	v.addServices(p)
	v.addUpstreams(p)
	for i, b := range p.Bases {
		v.addBase(i, b, gone.of(b.Revision))
	}
	for _, s := range v.byName {
		s.quiet = len(s.bases) == 1 && s.current.equal(&s.bases[0])
	}
	v.ownership = v.fingerprint()
	return v
}

func (v *view) zoneIndex(name string) int {
	return slices.IndexFunc(v.zones, func(z zone) bool { return z.name == name })
}

func (v *view) addNodes(p Snapshot, selfZone string) {
	all := append(slices.Clone(p.Peers), Peer{ID: v.self, Zone: selfZone, State: p.State, InSync: true, Version: p.Config.Version})
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, q := range all {
		n := node{Peer: q, zone: v.zoneIndex(q.Zone)}
		if q.ID != v.self {
			v.peers[q.ID] = n
			v.agreed = v.agreed && q.Version == p.Config.Version
			v.synced = v.synced && (q.InSync || q.State != bvmember.StateActive)
		}
		if highest := cmp.Or(v.newest, &node{Peer: Peer{Version: p.Config.Version}}); q.Version.Compare(highest.Version) > 0 {
			v.newest = &n
		}
		if n.zone < 0 {
			continue
		}
		z := &v.zones[n.zone]
		switch q.State {
		case bvmember.StateActive:
			z.active = append(z.active, bvpick.Balancer(q.ID))
			z.nodes = append(z.nodes, n)
		case bvmember.StateJoining:
			z.joining = append(z.joining, n)
		}
	}
}

func (v *view) addServices(p Snapshot) {
	for _, s := range p.Config.Services {
		c := &service{
			name: s.Name, vni: s.VNI, class: s.Class, idempotent: s.Idempotent,
			current: newPicks(len(v.zones)), bases: make([]picks, len(p.Bases)),
			homes: make([]bvpick.Candidate, len(v.zones)), disagreed: !v.agreed && v.disabled&formerHomes == 0,
		}
		for i := range c.bases {
			c.bases[i] = newPicks(len(v.zones))
		}
		v.byName[s.Name] = c
		for _, a := range s.Addresses {
			v.services[addressOf(a, s.Protocol)] = c
		}
	}
}

func newPicks(zones int) picks {
	return picks{zones: make([]bvpick.Candidate, zones), lists: make([]list, zones)}
}

func (v *view) addUpstreams(p Snapshot) {
	holders := map[netip.AddrPort]bvconfig.UpstreamID{}
	for _, u := range p.Config.Upstreams {
		holders[u.Tunnel] = u.ID()
	}
	weights := map[*service][]uint64{}
	for _, u := range p.Config.Upstreams {
		t := v.addUpstream(u, holders, p.RemovedUpstreams)
		t.takesNew = !u.Leaving && t.obstacle == ReasonNone
		if t.takesNew {
			t.service.current.lists[t.zone].add(t, u.Weight)
			addWeight(weights, t, u.Weight, len(v.zones))
		}
	}
	for s, w := range weights {
		v.weigh(s.current.zones, w)
	}
	for _, u := range p.Retired {
		v.addUpstream(u, holders, p.RemovedUpstreams)
	}
	for _, b := range p.Bases {
		for _, u := range b.Upstreams {
			v.addUpstream(u, holders, p.RemovedUpstreams)
		}
	}
}

func (v *view) weigh(zones []bvpick.Candidate, weights []uint64) {
	for i, w := range weights {
		zones[i] = bvpick.Zone(v.zones[i].name, w)
	}
}

// addUpstream returns the target for u, whose obstacle is set if its address
// belongs to another upstream, its zone is out of service, or its service is
// not configured.
func (v *view) addUpstream(u bvconfig.Upstream, holders map[netip.AddrPort]bvconfig.UpstreamID, gone []bvconfig.UpstreamID) *target {
	id := u.ID()
	if t := v.upstreams[id]; t != nil {
		return t
	}
	t := &target{id: id, name: u.Name, tunnel: u.Tunnel, service: v.byName[u.Service], zone: v.zoneIndex(u.Zone)}
	holder, held := holders[u.Tunnel]
	switch {
	case t.service == nil, held && holder != id && v.disabled&serviceChecks == 0, slices.Contains(gone, id):
		t.obstacle = ReasonUpstreamRemoved
	case t.zone < 0 || v.zones[t.zone].out:
		t.obstacle = ReasonZoneOutOfService
	}
	v.upstreams[id] = t
	return t
}

func (v *view) addBase(i int, b Base, gone *removal) {
	weights, whole := map[*service][]uint64{}, map[*service][]uint64{}
	for _, z := range b.RemovedZones {
		gone.zones[z] = true
	}
	for _, u := range b.RemovedUpstreams {
		gone.upstreams[u] = true
	}
	for _, u := range b.Upstreams {
		t := v.upstreams[u.ID()]
		if t.zone < 0 || v.zones[t.zone].out {
			gone.zones[u.Zone] = true
		}
		if t.obstacle != ReasonNone {
			gone.upstreams[t.id] = true
		}
		if t.service == nil || t.zone < 0 {
			continue
		}
		addWeight(whole, t, u.Weight, len(v.zones))
		if gone.zones[u.Zone] {
			continue
		}
		addWeight(weights, t, u.Weight, len(v.zones))
		if !gone.upstreams[t.id] {
			t.service.bases[i].lists[t.zone].add(t, u.Weight)
		}
	}
	for s, w := range weights {
		v.weigh(s.bases[i].zones, w)
	}
	if i == 0 {
		for s, w := range whole {
			v.weigh(s.homes, w)
		}
	}
}

// addWeight adds to the weight of the target's service in its zone.
func addWeight(weights map[*service][]uint64, t *target, weight uint32, zones int) {
	if weights[t.service] == nil {
		weights[t.service] = make([]uint64, zones)
	}
	weights[t.service][t.zone] += uint64(weight)
}

// fingerprint covers everything that determines owners, replica sets and base
// picks.
func (v *view) fingerprint() uint64 {
	var b []byte
	number := func(n uint64) { b = binary.BigEndian.AppendUint64(b, n) }
	for _, z := range v.zones {
		b = append(append(b, z.name...), 0)
		for _, n := range z.nodes {
			number(uint64(n.ID))
		}
		number(0)
		for _, n := range z.joining {
			number(uint64(n.ID))
		}
		number(0)
	}
	number(uint64(v.state))
	names := make([]string, 0, len(v.byName))
	for n := range v.byName {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		s := v.byName[n]
		b = append(append(b, n...), 0)
		for i := range v.zones {
			number(s.current.zones[i].Weight())
			number(s.homes[i].Weight())
		}
		for _, p := range s.bases {
			for i, z := range p.zones {
				number(z.Weight())
				for _, t := range p.lists[i].targets {
					number(uint64(t.id))
				}
			}
		}
	}
	return xxh3.Hash(b)
}
