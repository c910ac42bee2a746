package bvconfig

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
)

const (
	// MaxVNI is the largest Geneve virtual network identifier.
	MaxVNI = 1<<24 - 1
	// MaxWeight keeps sums of weights well within 64 bits.
	MaxWeight = 1_000_000
	// BaseRetention is how long a revision must have been in force before its
	// upstream lists may become base lists. It is longer than any idle
	// timeout, so that no flow outlives the list that gives its base pick.
	BaseRetention = 4 * time.Hour
	maxName       = 253
)

// Validate checks the content of a configuration and returns all findings. A
// finding has the manifest's key as its file and names the object, since a
// [Config] holds no positions.
func Validate(c Config) bvfinding.List {
	v := newValidator(c)
	v.group()
	v.zones()
	v.services()
	v.upstreams()
	v.balancers()
	v.coverage()
	return v.findings
}

type validator struct {
	config       Config
	findings     bvfinding.List
	place        bvfinding.Place
	outOfService map[string]bool   // Known zones; true if out of service.
	service      map[string]bool   // Known services.
	vmZone       map[string]string // Zone of each VM.
	vmRole       map[string]string // Role of each VM.
	tunnels      map[netip.AddrPort]string
	// upstreamID and nodeID are replaced in tests to force collisions.
	upstreamID func(Upstream) UpstreamID
	nodeID     func(Balancer) NodeID
}

func newValidator(c Config) *validator {
	v := &validator{
		config: c, place: bvfinding.Place{File: ManifestKey(c.Group)},
		outOfService: map[string]bool{}, service: map[string]bool{}, vmZone: map[string]string{}, vmRole: map[string]string{},
		tunnels: map[netip.AddrPort]string{}, upstreamID: Upstream.ID, nodeID: Balancer.ID,
	}
	return v
}

func (v *validator) add(remedy, format string, args ...any) {
	v.findings.Add(v.place, fmt.Sprintf(format, args...), remedy)
}

func (v *validator) name(kind, name string) {
	hasControl := strings.IndexFunc(name, unicode.IsControl) >= 0
	if name == "" || len(name) > maxName || hasControl {
		v.add("use 1 to 253 bytes without control characters", "%s has an invalid name %q", kind, name)
	}
}

func (v *validator) address(what string, a netip.AddrPort) {
	ip := a.Addr()
	if !a.IsValid() || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		v.add("write the IP address and port of one host", "%s: invalid address %q", what, addressText(a))
	}
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func (v *validator) group() {
	v.name("the group", v.config.Group)
	if strings.Contains(v.config.Group, "/") {
		v.add("use another name", "the group's name %q contains a slash", v.config.Group)
	}
	if v.config.Version.Revision == 0 {
		v.add("number revisions from 1", "the revision is 0")
	}
}

func (v *validator) zones() {
	for _, z := range v.config.Zones {
		v.name("a zone", z.Name)
		if _, dup := v.outOfService[z.Name]; dup {
			v.add("name each zone once", "zone %q appears twice", z.Name)
		}
		v.outOfService[z.Name] = z.OutOfService
	}
}

func (v *validator) services() {
	type endpoint struct {
		address  netip.AddrPort
		protocol bvflow.Protocol
	}
	vnis, endpoints := map[uint32]string{}, map[endpoint]string{}
	for _, s := range v.config.Services {
		v.name("a service", s.Name)
		if v.service[s.Name] {
			v.add("name each service once", "service %q appears twice", s.Name)
		}
		v.service[s.Name] = true
		if s.VNI == 0 || s.VNI > MaxVNI {
			v.add(fmt.Sprintf("use 1 to %d", MaxVNI), "service %q: VNI %d is out of range", s.Name, s.VNI)
		}
		if o, dup := vnis[s.VNI]; dup {
			v.add("give each service its own VNI", "services %q and %q have VNI %d", o, s.Name, s.VNI)
		}
		vnis[s.VNI] = s.Name
		if len(s.Addresses) == 0 {
			v.add("add an address or remove the service", "service %q has no address", s.Name)
		}
		for _, a := range s.Addresses {
			v.address(fmt.Sprintf("service %q", s.Name), a)
			e := endpoint{unmap(a), s.Protocol}
			if o, dup := endpoints[e]; dup {
				v.add("give each service its own addresses", "services %q and %q have address %s/%s", o, s.Name, a, s.Protocol)
			}
			endpoints[e] = s.Name
		}
		v.serviceValues(s)
	}
}

func (v *validator) serviceValues(s Service) {
	if s.Protocol != bvflow.ProtocolTCP && s.Protocol != bvflow.ProtocolUDP {
		v.add("write tcp or udp", "service %q has no protocol", s.Name)
	}
	if s.Class > ClassBulk {
		v.add("write feed, interactive or bulk", "service %q has an unknown class", s.Name)
	}
	cold, warm := s.ColdFlowsPerSecond, s.WarmFlowsPerSecond
	invalid := func(f float64) bool { return f < 0 || math.IsNaN(f) || math.IsInf(f, 0) }
	if invalid(cold) || invalid(warm) {
		v.add("write a number of at least 0", "service %q has an invalid rate", s.Name)
	}
	if warm > 0 && cold > warm {
		v.add("lower the cold rate or raise the warm one", "service %q: the cold rate is above the warm rate", s.Name)
	}
	if s.WarmUp < 0 || s.IdleTimeout < 0 {
		v.add("write a duration of at least 0", "service %q has a negative duration", s.Name)
	}
	if s.WarmUp > 0 && cold == 0 {
		v.add("set coldFlowsPerSecond", "service %q has a warm-up but no cold rate, so a cold upstream would never start", s.Name)
	}
	if s.IdleTimeout >= BaseRetention {
		v.add("shorten the idle timeout", "service %q: the idle timeout is not below %s, the age at which old upstream lists are discarded",
			s.Name, BaseRetention)
	}
}

// vm checks that a VM has one role, one zone and its own tunnel address.
func (v *validator) vm(name, zone, role string, tunnel netip.AddrPort) {
	v.name(role, name)
	if z, ok := v.vmZone[name]; ok && z != zone {
		v.add("correct the zone", "VM %q is in zones %q and %q", name, z, zone)
	}
	if o, ok := v.vmRole[name]; ok {
		v.add("list each VM once", "VM %q appears twice, as %s and as %s", name, o, role)
	}
	v.vmZone[name], v.vmRole[name] = zone, role
	if _, ok := v.outOfService[zone]; !ok {
		v.add("add the zone or correct its name", "VM %q is in the unknown zone %q", name, zone)
	}
	v.address(fmt.Sprintf("tunnel of VM %q", name), tunnel)
	if o, ok := v.tunnels[unmap(tunnel)]; ok && tunnel.IsValid() {
		v.add("give each VM its own tunnel address", "VMs %q and %q have tunnel address %s", o, name, tunnel)
	}
	v.tunnels[unmap(tunnel)] = name
}

func (v *validator) upstreams() {
	ids := make(map[UpstreamID]string, len(v.config.Upstreams))
	for _, u := range v.config.Upstreams {
		v.vm(u.Name, u.Zone, fmt.Sprintf("an upstream of service %q", u.Service), u.Tunnel)
		if !v.service[u.Service] {
			v.add("add the service or correct its name", "upstream %q belongs to the unknown service %q", u.Name, u.Service)
		}
		if u.Health.IsValid() {
			v.address(fmt.Sprintf("health endpoint of VM %q", u.Name), u.Health)
		}
		if u.Weight == 0 || u.Weight > MaxWeight {
			v.add(fmt.Sprintf("use 1 to %d; mark a VM that gets no new flows as leaving", MaxWeight),
				"upstream %q: weight %d is out of range", u.Name, u.Weight)
		}
		id := v.upstreamID(u)
		if o, dup := ids[id]; id == 0 || dup && o != u.Name {
			v.add("rename one of them", "upstream %q: identity %016x is taken by %q", u.Name, uint64(id), o)
		}
		ids[id] = u.Name
	}
}

func (v *validator) balancers() {
	ids, controls := map[NodeID]string{}, map[netip.AddrPort]string{}
	for _, b := range v.config.Balancers {
		v.vm(b.Name, b.Zone, "a balancer", b.Tunnel)
		v.address(fmt.Sprintf("control address of VM %q", b.Name), b.Control)
		if o, dup := controls[unmap(b.Control)]; dup && b.Control.IsValid() {
			v.add("give each balancer its own control address", "balancers %q and %q have control address %s", o, b.Name, b.Control)
		}
		controls[unmap(b.Control)] = b.Name
		id := v.nodeID(b)
		if o, dup := ids[id]; id == 0 || dup && o != b.Name {
			v.add("rename one of them", "balancer %q: identity %016x is taken by %q", b.Name, uint64(id), o)
		}
		ids[id] = b.Name
	}
}

// coverage checks that each service has an upstream in a zone in service, and
// that each such zone has a balancer. It also checks that the connection limit
// of each upstream gives every balancer of the zone a share.
func (v *validator) coverage() {
	hasUpstream, inService := map[string]bool{}, map[string]bool{}
	upstreamZones, balancers := map[string]bool{}, map[string]uint32{}
	for _, b := range v.config.Balancers {
		balancers[b.Zone]++
	}
	for _, u := range v.config.Upstreams {
		hasUpstream[u.Service] = true
		out, known := v.outOfService[u.Zone]
		if known && !out {
			inService[u.Service], upstreamZones[u.Zone] = true, true
		}
		// A balancer's share is a whole number of connections.
		if n := balancers[u.Zone]; u.Connections > 0 && u.Connections < n {
			v.add("raise the limit or use fewer balancers",
				"upstream %q: %d connections cannot be shared by %d balancers", u.Name, u.Connections, n)
		}
	}
	for _, s := range v.config.Services {
		switch {
		case !hasUpstream[s.Name]:
			v.add("add an upstream or remove the service", "service %q has no upstream", s.Name)
		case !inService[s.Name]:
			v.add("leave one of its zones in service", "all zones of service %q are out of service", s.Name)
		}
	}
	for _, z := range v.config.Zones {
		if upstreamZones[z.Name] && balancers[z.Name] == 0 {
			v.add("add a balancer to the zone", "zone %q has upstreams but no balancer", z.Name)
		}
	}
}
