package bvregister

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
)

// builder collects the configurations of all groups from the rows.
type builder struct {
	file     string
	rules    rules
	list     *bvfinding.List
	groups   map[string]*bvconfig.Config
	services map[string]*service
	vms      map[string]*seenVM
	zones    map[string]*zone
	// tunnels, controls and addresses hold the owner of each address.
	tunnels   map[netip.AddrPort]string
	controls  map[netip.AddrPort]string
	addresses map[serviceAddress]string
	vnis      map[uint32]string
	// published holds the service of each VNI before this import.
	published         map[uint32]string
	zonesOutOfService map[string]ruleValue
	leaving           map[string]ruleValue
}

type serviceAddress struct {
	address  netip.AddrPort
	protocol bvflow.Protocol
}

// service is a service whose rows are being collected.
type service struct {
	bvconfig.Service
	group string
	place bvfinding.Place
	rules serviceRules
	// className is the class from a row of the register.
	className string
	// invalidVNI is set if a row has an invalid VNI, which has been reported.
	invalidVNI bool
	// upstreams counts the VMs; acceptingFlows counts those that get new flows.
	upstreams, acceptingFlows int
	// lastRule is the last rule that keeps a VM from getting new flows.
	lastRule bvfinding.Place
}

type seenVM struct {
	zone  string
	place bvfinding.Place
}

type zone struct {
	region string
	place  bvfinding.Place
	// balancers and upstreams hold the groups that have some in the zone.
	balancers, upstreams map[string]bool
}

// build converts rows and rules to configurations, ordered by group. It
// continues after a problem, so that one run reports all of them.
func build(file string, rows []row, r rules, published map[uint32]string, l *bvfinding.List) []bvconfig.Config {
	b := &builder{
		file: file, rules: r, list: l,
		groups: map[string]*bvconfig.Config{}, services: map[string]*service{},
		vms: map[string]*seenVM{}, zones: map[string]*zone{}, tunnels: map[netip.AddrPort]string{}, controls: map[netip.AddrPort]string{},
		addresses: map[serviceAddress]string{}, vnis: map[uint32]string{}, published: published,
		zonesOutOfService: byName(r.zonesOutOfService), leaving: byName(r.leaving),
	}
	for i := range rows {
		if rows[i].role == roleService {
			b.serviceRow(&rows[i])
		}
	}
	for i := range rows {
		switch rows[i].role {
		case roleUpstream:
			b.upstreamRow(&rows[i])
		case roleBalancer:
			b.balancerRow(&rows[i])
		}
	}
	b.checkRules()
	b.checkServices()
	b.checkZones()
	return b.configs()
}

func byName(names []ruleValue) map[string]ruleValue {
	m := make(map[string]ruleValue, len(names))
	for _, p := range names {
		m[p.value] = p
	}
	return m
}

// group returns the configuration of a row's group; explicit is the name that
// the row or its service gives. A missing or invalid name is reported once, and
// is treated as a group in all further checks.
func (b *builder) group(w *row, explicit string) *bvconfig.Config {
	name := cmp.Or(explicit, b.rules.group)
	c, ok := b.groups[name]
	if ok {
		return c
	}
	switch {
	case name == "":
		b.add(w, colGroup, "no group is given", "write \"group: NAME\" in the rules, or add a column group to the register")
	case explicit != "" && !validName(name):
		b.add(w, colGroup, "group "+quote(name)+" is not a valid name", nameRemedy)
	}
	c = &bvconfig.Config{Group: name, HashSeed: b.rules.hashSeed}
	b.groups[name] = c
	return c
}

// serviceRow adds an address to a service. A service has one row for each
// address.
func (b *builder) serviceRow(w *row) {
	name, ok := b.name(w, colService, "service")
	if !ok {
		return
	}
	c := b.group(w, w.text(colGroup))
	s, known := b.services[name]
	if !known {
		s = b.newService(name, c.Group, b.place(w, colService))
	}
	if s.group != c.Group {
		b.add(w, colGroup, "service "+quote(name)+" is in group "+quote(s.group)+" on line "+strconv.Itoa(s.place.Line),
			"write the same group, or rename one of the services")
		return
	}
	b.protocol(w, s, known)
	b.class(w, s)
	b.vni(w, s)
	a, ok := b.endpoint(w, 0)
	if !ok {
		return
	}
	k := serviceAddress{a, s.Protocol}
	if other, taken := b.addresses[k]; taken {
		b.add(w, colAddress, "address "+a.String()+" ("+s.Protocol.String()+") belongs to service "+quote(other)+" already",
			"give each service its own address and port")
		return
	}
	b.addresses[k] = name
	s.Addresses = append(s.Addresses, a)
}

func (b *builder) newService(name, group string, place bvfinding.Place) *service {
	r := b.rules.service(name)
	s := &service{group: group, place: place, rules: r, Service: bvconfig.Service{
		Name: name, VNI: r.vni, Class: r.class, Idempotent: r.idempotent, Protocol: bvflow.ProtocolTCP,
		ColdFlowsPerSecond: r.cold, WarmFlowsPerSecond: r.warm, WarmUp: r.warmUp, IdleTimeout: r.idleTimeout,
	}}
	if r.protocol == "udp" {
		s.Protocol = bvflow.ProtocolUDP
	}
	b.services[name] = s
	return s
}

// protocol reads the protocol column. The rules take precedence.
func (b *builder) protocol(w *row, s *service, known bool) {
	text := w.text(colProtocol)
	var p bvflow.Protocol
	switch text {
	case "":
		return
	case "tcp", "TCP":
		p = bvflow.ProtocolTCP
	case "udp", "UDP":
		p = bvflow.ProtocolUDP
	default:
		b.add(w, colProtocol, "unknown protocol "+quote(text), "write tcp or udp")
		return
	}
	if p != s.Protocol && (known || s.rules.protocol != "") {
		b.add(w, colProtocol, "service "+quote(s.Name)+" has protocol "+s.Protocol.String()+" elsewhere", "write one protocol, or split it into two services")
		return
	}
	s.Protocol = p
}

// class reads the class column. The rules of the service take precedence.
func (b *builder) class(w *row, s *service) {
	text := w.text(colClass)
	if text == "" || s.rules.classGiven {
		return
	}
	c, ok := classes[text]
	switch {
	case !ok:
		b.add(w, colClass, "unknown class "+quote(text), "write feed, interactive or bulk")
	case s.className != "" && s.className != text:
		b.add(w, colClass, "service "+quote(s.Name)+" has class "+s.className+" elsewhere", "write one class for each service")
	default:
		s.Class, s.className = c, text
	}
}

// vni reads the VNI of a service from any of its rows. Two services never
// share one, because a VM uses the VNI to reject packets of other services.
func (b *builder) vni(w *row, s *service) {
	v := b.number(w, colVNI, 0, bvconfig.MaxVNI)
	if v == 0 {
		s.invalidVNI = s.invalidVNI || w.text(colVNI) != ""
		return
	}
	if s.VNI != 0 && s.VNI != v {
		b.add(w, colVNI, "service "+quote(s.Name)+" has VNI "+strconv.Itoa(int(s.VNI))+" elsewhere", "write one VNI for each service")
		return
	}
	s.VNI = v
}

// upstreamRow adds an upstream.
func (b *builder) upstreamRow(w *row) {
	s, ok := b.services[w.text(colService)]
	if !ok {
		b.add(w, colService, "service "+quote(w.text(colService))+" has no row of its own",
			"add a row with role service, its address and its port, or correct the name")
	}
	u, usable := b.vm(w)
	if !ok || !usable {
		return
	}
	if g := w.text(colGroup); g != "" && g != s.group {
		b.add(w, colGroup, "the VM is in group "+quote(g)+" and its service "+quote(s.Name)+" in "+quote(s.group), "write the group of the service")
		return
	}
	b.vni(w, s)
	b.zones[u.zone].upstreams[s.group] = true
	up := bvconfig.Upstream{
		Name: u.name, Service: s.Name, Zone: u.zone, Tunnel: u.tunnel,
		Health:      b.optionalEndpoint(w, colHealth, netip.AddrPort{}),
		Weight:      b.number(w, colWeight, s.rules.weight, bvconfig.MaxWeight),
		Slots:       b.count(w, colSlots, s.rules.slots),
		Connections: b.count(w, colConnections, s.rules.connections),
		Leaving:     u.leaving,
	}
	s.upstreams++
	rule, out := b.zonesOutOfService[u.zone]
	switch {
	case out:
		s.lastRule = rule.place
	case u.leaving:
		s.lastRule = b.leaving[u.name].place
	default:
		s.acceptingFlows++
	}
	c := b.groups[s.group]
	c.Upstreams = append(c.Upstreams, up)
}

// balancerRow adds a balancer.
func (b *builder) balancerRow(w *row) {
	c := b.group(w, w.text(colGroup))
	u, ok := b.vm(w)
	if !ok {
		return
	}
	b.zones[u.zone].balancers[c.Group] = true
	control := b.optionalEndpoint(w, colControl, u.tunnel)
	if other, taken := b.controls[control]; taken {
		b.add(w, colControl, "control address "+control.String()+" belongs to VM "+quote(other)+" already", "correct one of the two addresses")
		return
	}
	b.controls[control] = u.name
	c.Balancers = append(c.Balancers, bvconfig.Balancer{
		Name: u.name, Zone: u.zone, Tunnel: u.tunnel, Control: control, Leaving: u.leaving,
	})
}

// vmColumns holds the values that rows of upstreams and balancers share.
type vmColumns struct {
	name, zone string
	tunnel     netip.AddrPort
	leaving    bool
}

// vm reads the VM of a row. A VM must have only one row in the register.
func (b *builder) vm(w *row) (vmColumns, bool) {
	name, nameOK := b.name(w, colVM, "VM")
	zoneName, zoneOK := b.name(w, colZone, "zone")
	tunnel, tunnelOK := b.endpoint(w, genevePort)
	if zoneOK {
		b.zone(w, zoneName)
	}
	if nameOK {
		if first, twice := b.vms[name]; twice {
			b.reportDuplicateVM(w, name, zoneName, first)
			return vmColumns{}, false
		}
		b.vms[name] = &seenVM{zone: zoneName, place: b.place(w, colVM)}
	}
	if !nameOK || !zoneOK || !tunnelOK {
		return vmColumns{}, false
	}
	if other, taken := b.tunnels[tunnel]; taken {
		b.add(w, colAddress, "address "+tunnel.String()+" belongs to VM "+quote(other)+" already", "correct one of the two addresses")
		return vmColumns{}, false
	}
	b.tunnels[tunnel] = name
	_, leaving := b.leaving[name]
	return vmColumns{name, zoneName, tunnel, leaving}, true
}

// reportDuplicateVM reports a VM that appears twice in the register.
func (b *builder) reportDuplicateVM(w *row, name, zoneName string, first *seenVM) {
	line := strconv.Itoa(first.place.Line)
	if first.zone != zoneName {
		b.add(w, colZone, "VM "+quote(name)+" is in zone "+quote(zoneName)+" here and in zone "+quote(first.zone)+" on line "+line,
			"keep the row with the right zone")
		return
	}
	b.add(w, colVM, "VM "+quote(name)+" is on line "+line+" already", "keep one row; a VM serves one service")
}

// zone adds a zone, or checks that its region is the same as before.
func (b *builder) zone(w *row, name string) {
	z, ok := b.zones[name]
	if !ok {
		z = &zone{place: b.place(w, colZone), balancers: map[string]bool{}, upstreams: map[string]bool{}}
		b.zones[name] = z
	}
	region := w.text(colRegion)
	if z.region != "" && region != "" && region != z.region {
		b.add(w, colRegion, "zone "+quote(name)+" is in region "+quote(region)+" here and in "+quote(z.region)+" elsewhere", "write one region for each zone")
		return
	}
	z.region = cmp.Or(z.region, region)
}

// configs returns the collected configurations in a fixed order.
func (b *builder) configs() []bvconfig.Config {
	for _, s := range b.services {
		c := b.groups[s.group]
		slices.SortFunc(s.Addresses, netip.AddrPort.Compare)
		c.Services = append(c.Services, s.Service)
	}
	for n, z := range b.zones {
		_, out := b.zonesOutOfService[n]
		members := maps.Clone(z.balancers)
		maps.Copy(members, z.upstreams)
		for g := range members {
			c := b.groups[g]
			c.Zones = append(c.Zones, bvconfig.Zone{Name: n, Region: z.region, OutOfService: out})
		}
	}
	var all []bvconfig.Config
	for _, n := range slices.Sorted(maps.Keys(b.groups)) {
		c := b.groups[n]
		slices.SortFunc(c.Zones, func(x, y bvconfig.Zone) int { return cmp.Compare(x.Name, y.Name) })
		slices.SortFunc(c.Services, func(x, y bvconfig.Service) int { return cmp.Compare(x.Name, y.Name) })
		slices.SortFunc(c.Upstreams, func(x, y bvconfig.Upstream) int {
			return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
		})
		slices.SortFunc(c.Balancers, func(x, y bvconfig.Balancer) int { return cmp.Compare(x.Name, y.Name) })
		all = append(all, *c)
	}
	return all
}
