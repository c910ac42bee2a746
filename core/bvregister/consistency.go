package bvregister

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"balsamvane/core/bvfinding"
)

// checkRules reports rules for names that are not in the register.
func (b *builder) checkRules() {
	for _, p := range b.rules.zonesOutOfService {
		if _, ok := b.zones[p.value]; !ok {
			b.list.Add(p.place, "no VM of the register is in a zone "+quote(p.value), "write "+suggestion(p.value, firstNames(b.zones))+", or remove the rule")
		}
	}
	for _, p := range b.rules.leaving {
		if _, ok := b.vms[p.value]; !ok {
			b.list.Add(p.place, "the register has no VM "+quote(p.value), "correct the name; remove the rule if the VM is no longer in the register")
		}
	}
	for n, s := range b.rules.services {
		if _, ok := b.services[n]; !ok {
			b.list.Add(s.place, "the register has no service "+quote(n), "write "+suggestion(n, firstNames(b.services))+", or remove the rule")
		}
	}
}

// firstNames returns up to 12 of the names, for use in a remedy.
func firstNames[V any](m map[string]V) map[string]V {
	out := map[string]V{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		if len(out) == 12 {
			break
		}
		out[n] = m[n]
	}
	return out
}

// checkServices reports services without a VNI of their own and services without
// a VM for new flows.
func (b *builder) checkServices() {
	// Services are checked in the order of the file, so that a conflict is
	// reported at the later row.
	order := slices.SortedFunc(maps.Values(b.services), func(x, y *service) int {
		return cmp.Or(cmp.Compare(x.place.Line, y.place.Line), cmp.Compare(x.Name, y.Name))
	})
	for _, s := range order {
		n := s.Name
		b.checkVNI(s)
		switch {
		case s.upstreams == 0:
			b.list.Add(s.place, "service "+quote(n)+" has no VMs", "add a row with role upstream for each VM, or remove the service")
		case s.acceptingFlows == 0:
			b.list.Add(s.lastRule, "this rule disables the last zone or VM of service "+quote(n),
				"leave one zone with a VM in service; to end the service, remove its rows from the register")
		}
	}
}

// checkVNI reports a missing VNI and one that another service has or had. A VNI
// must not move from one service to another in one change: a balancer that has
// not received the change yet could send packets of the first service to a VM
// that now serves the second, and the VM would accept them.
func (b *builder) checkVNI(s *service) {
	if s.VNI == 0 && s.invalidVNI {
		return
	}
	if s.VNI == 0 {
		b.list.Add(s.place, "service "+quote(s.Name)+" has no VNI", "write its VNI in column vni of a row of the service, or as vni in the rules")
		return
	}
	v := strconv.Itoa(int(s.VNI))
	if other, taken := b.vnis[s.VNI]; taken {
		b.list.Add(s.place, "services "+quote(other)+" and "+quote(s.Name)+" have the same VNI "+v,
			"give each service its own VNI; a VM discards packets of other services by it")
		return
	}
	b.vnis[s.VNI] = s.Name
	if old, known := b.published[s.VNI]; known && old != s.Name {
		b.list.Add(s.place, "VNI "+v+" belongs to service "+quote(old)+" in the published configuration",
			"write a VNI that is not in use; publish without "+quote(old)+" first if "+quote(s.Name)+" needs this one")
	}
}

// checkZones reports zones whose upstreams no balancer can reach, since only
// balancers of a zone place flows on its upstreams. It also reports groups without
// VMs.
func (b *builder) checkZones() {
	for _, n := range slices.Sorted(maps.Keys(b.zones)) {
		z := b.zones[n]
		for _, g := range slices.Sorted(maps.Keys(z.upstreams)) {
			if !z.balancers[g] && validName(g) { // An invalid name is reported already.
				b.list.Add(z.place, "zone "+quote(n)+" has upstreams of group "+quote(g)+" but no balancer of it",
					"add a row with role balancer in this zone; only balancers of a zone send flows to its VMs")
			}
		}
	}
	for g, c := range b.groups {
		if len(c.Balancers) == 0 && len(c.Upstreams) == 0 {
			b.list.Add(bvfinding.Place{File: b.file}, "group "+quote(g)+" has no VMs", "add the rows of its balancers and upstreams, or remove the group")
		}
	}
}
