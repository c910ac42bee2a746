package bvregister

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/zeebo/xxh3"
)

// DiffOptions configures [Diff]. The zero value is ready to use.
type DiffOptions struct {
	// NewPicker returns the Picker of a configuration; [NewPicker] if nil.
	NewPicker func(bvconfig.Config) Picker
	// Samples is the number of synthetic flows of each service; 2,000 if 0,
	// which gives shares a standard error of about one percentage point.
	Samples int
}

// Report describes the effects of a change of configuration.
type Report struct {
	Group       string `json:"group"`
	OldRevision uint64 `json:"oldRevision"`
	NewRevision uint64 `json:"newRevision"`
	// HashSeedChanged is set if every flow gets another key, so that
	// established flows are no longer found.
	HashSeedChanged bool `json:"hashSeedChanged"`
	// NoNewFlows lists VMs that no longer accept new flows.
	NoNewFlows []VM `json:"noNewFlows"`
	// Abandoned lists the shares of established flows that are abandoned.
	Abandoned []Loss `json:"givenUp"`
	// Moved lists the services with flows whose default upstream changes.
	// Established flows keep their upstream; balancers exchange them as
	// exceptions.
	Moved []Share `json:"moved"`
	// MovedShare is the share over all services that are in both
	// configurations, weighted by their number of VMs.
	MovedShare float64 `json:"movedShare"`
	// Cold lists upstreams that start cold.
	Cold []VM `json:"cold"`
	// FewerZones lists services that lose zones for new flows.
	FewerZones []ZoneCount `json:"fewerZones"`
	// Added and Removed list services. Balancers lists the balancers that are
	// added, removed or changed, or whose leaving state changes.
	Added     []string `json:"added"`
	Removed   []string `json:"removed"`
	Balancers []VM     `json:"balancers"`
}

// VM is a VM and the reason why a report lists it.
type VM struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
}

// Loss is a share of a service's flows that is abandoned. Zone is empty if the
// loss is not limited to one zone.
type Loss struct {
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	VMs     int     `json:"vms"`
	Share   float64 `json:"share"`
	Reason  string  `json:"reason"`
}

// Share is a share of a service's flows, from 0 to 1.
type Share struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// ZoneCount is the number of zones in which a service accepts new flows.
type ZoneCount struct {
	Service string `json:"service"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Empty reports whether the change affects no flow and no VM.
func (r Report) Empty() bool {
	return !r.HashSeedChanged && len(r.NoNewFlows)+len(r.Abandoned)+len(r.Moved)+len(r.Cold)+
		len(r.FewerZones)+len(r.Added)+len(r.Removed)+len(r.Balancers) == 0
}

// Diff reports the effects of changing the configuration of a group from old to
// next. old is the zero Config for an added group, and next for a removed one.
// Shares are estimated on synthetic flows from a fixed seed, so that the same
// input gives the same report.
func Diff(old, next bvconfig.Config, o DiffOptions) Report {
	if o.NewPicker == nil {
		o.NewPicker = NewPicker
	}
	if o.Samples <= 0 {
		o.Samples = 2000
	}
	d := &differ{old: newIndexedConfig(old, o), next: newIndexedConfig(next, o), samples: o.Samples, losses: map[lossKey]*Loss{}}
	d.report = Report{
		Group: cmp.Or(next.Group, old.Group), OldRevision: old.Version.Revision, NewRevision: next.Version.Revision,
		HashSeedChanged: old.HashSeed != next.HashSeed && len(old.Services) > 0 && len(next.Services) > 0,
	}
	d.upstreams()
	d.services()
	d.balancers()
	d.sort()
	return d.report
}

// indexedConfig is one of the two configurations with its lookup tables.
type indexedConfig struct {
	config           bvconfig.Config
	outOfService     map[string]bool
	upstreams        map[bvconfig.UpstreamID]bvconfig.Upstream
	services         map[string]bvconfig.Service
	zones            map[string]map[string]bool // Zones that accept new flows, by service.
	vms              map[string]int             // Upstreams, by service.
	pickFingerprints map[string]uint64          // Fingerprint of the inputs of the default picks, by service.
	picker           Picker
	hasher           bvflow.Hasher
}

func newIndexedConfig(c bvconfig.Config, o DiffOptions) *indexedConfig {
	s := &indexedConfig{
		config: c, outOfService: zonesOutOfService(c), upstreams: make(map[bvconfig.UpstreamID]bvconfig.Upstream, len(c.Upstreams)),
		services: map[string]bvconfig.Service{}, zones: map[string]map[string]bool{}, vms: map[string]int{}, pickFingerprints: map[string]uint64{},
		picker: o.NewPicker(c), hasher: bvflow.NewHasher(c.HashSeed),
	}
	for _, v := range c.Services {
		s.services[v.Name] = v
		s.zones[v.Name] = map[string]bool{}
	}
	for _, u := range c.Upstreams {
		s.upstreams[u.ID()] = u
		s.vms[u.Service]++
		if s.acceptsFlows(u) && s.zones[u.Service] != nil {
			s.zones[u.Service][u.Zone] = true
			// A sum does not depend on the order of the upstreams.
			s.pickFingerprints[u.Service] += xxh3.HashString(fmt.Sprintf("%x %d %s", u.ID(), u.Weight, u.Zone))
		}
	}
	return s
}

// acceptsFlows reports whether u gets new flows.
func (s *indexedConfig) acceptsFlows(u bvconfig.Upstream) bool {
	return !u.Leaving && !s.outOfService[u.Zone]
}

type lossKey struct{ service, zone, reason string }

type differ struct {
	old, next *indexedConfig
	samples   int
	losses    map[lossKey]*Loss
	report    Report
}

// The reasons in a report.
const (
	reasonOutOfService = "zone out of service"
	reasonLeaving      = "leaving"
	reasonRemoved      = "removed, or moved to another address or service"
	reasonNew          = "new"
)

// noNewFlowsReason returns the reason why an upstream of the old configuration
// gets no new flows, or ""; abandoned reports whether its established flows are
// abandoned.
func (d *differ) noNewFlowsReason(u bvconfig.Upstream) (reason string, abandoned bool) {
	v, ok := d.next.upstreams[u.ID()]
	switch {
	case !ok:
		return reasonRemoved, true
	case d.next.outOfService[v.Zone]:
		return reasonOutOfService, true
	case v.Leaving:
		return reasonLeaving, false
	default:
		return "", false
	}
}

func (d *differ) upstreams() {
	for _, u := range d.old.upstreams {
		reason, abandoned := d.noNewFlowsReason(u)
		if reason != "" && d.old.acceptsFlows(u) {
			d.report.NoNewFlows = append(d.report.NoNewFlows, VM{u.Name, u.Service, u.Zone, reason})
		}
		if abandoned && !d.old.outOfService[u.Zone] {
			k := lossKey{u.Service, u.Zone, reason}
			if d.losses[k] == nil {
				d.losses[k] = &Loss{Service: u.Service, Zone: u.Zone, Reason: reason}
			}
			d.losses[k].VMs++
		}
	}
	for id, u := range d.next.upstreams {
		if _, known := d.old.upstreams[id]; !known && d.next.acceptsFlows(u) {
			d.report.Cold = append(d.report.Cold, VM{u.Name, u.Service, u.Zone, reasonNew})
		}
	}
}

func (d *differ) services() {
	weight, moved := 0.0, 0.0
	for _, n := range slices.Sorted(maps.Keys(d.old.services)) {
		s := d.old.services[n]
		t, kept := d.next.services[n]
		if !kept {
			d.report.Removed = append(d.report.Removed, n)
		}
		share := 0.0
		if !kept || d.report.HashSeedChanged || d.old.pickFingerprints[n] != d.next.pickFingerprints[n] || s.Protocol != t.Protocol {
			share = d.samplePicks(s, t, kept)
		}
		if !kept {
			continue
		}
		d.addresses(s, t)
		if share > 0 {
			d.report.Moved = append(d.report.Moved, Share{n, share})
		}
		w := float64(d.old.vms[n])
		weight, moved = weight+w, moved+w*share
		if before, after := len(d.old.zones[n]), len(d.next.zones[n]); after < before {
			d.report.FewerZones = append(d.report.FewerZones, ZoneCount{n, before, after})
		}
	}
	if weight > 0 {
		d.report.MovedShare = moved / weight
	}
	for n := range d.next.services {
		if _, known := d.old.services[n]; !known {
			d.report.Added = append(d.report.Added, n)
		}
	}
}

// addresses reports addresses that a service no longer has.
func (d *differ) addresses(s, t bvconfig.Service) {
	for _, a := range s.Addresses {
		if s.Protocol != t.Protocol || !slices.Contains(t.Addresses, a) {
			reason := "address " + a.String() + "/" + s.Protocol.String() + " removed"
			d.losses[lossKey{s.Name, "", reason}] = &Loss{Service: s.Name, Reason: reason, Share: 1 / float64(len(s.Addresses))}
		}
	}
}

// samplePicks draws flows of a service and returns the share whose default
// upstream changes. It adds the share of abandoned flows to the losses.
func (d *differ) samplePicks(s, t bvconfig.Service, kept bool) float64 {
	if len(s.Addresses) == 0 {
		return 0
	}
	r := rand.New(rand.NewPCG(uint64(s.VNI), 1))
	moved := 0
	for i := range d.samples {
		f := bvflow.Tuple{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32())}), uint16(1024+r.IntN(64000))),
			Destination: s.Addresses[i%len(s.Addresses)],
			Protocol:    s.Protocol,
		}
		before, ok := d.old.picker.Pick(s.Name, d.old.hasher.Key(f))
		if !ok {
			continue
		}
		u := d.old.upstreams[before]
		reason, _ := d.noNewFlowsReason(u)
		if l := d.losses[lossKey{u.Service, u.Zone, reason}]; l != nil {
			l.Share += 1 / float64(d.samples)
		}
		if !kept {
			continue
		}
		f.Protocol = t.Protocol
		if after, ok := d.next.picker.Pick(t.Name, d.next.hasher.Key(f)); !ok || after != before {
			moved++
		}
	}
	return float64(moved) / float64(d.samples)
}

func (d *differ) balancers() {
	before := map[bvconfig.NodeID]bvconfig.Balancer{}
	for _, b := range d.old.config.Balancers {
		before[b.ID()] = b
	}
	add := func(b bvconfig.Balancer, reason string) {
		d.report.Balancers = append(d.report.Balancers, VM{Name: b.Name, Zone: b.Zone, Reason: reason})
	}
	for _, b := range d.next.config.Balancers {
		o, known := before[b.ID()]
		delete(before, b.ID())
		switch {
		case !known:
			add(b, reasonNew)
		case b.Leaving && !o.Leaving:
			add(b, reasonLeaving)
		case o.Leaving && !b.Leaving:
			add(b, "no longer leaving")
		case o.Zone != b.Zone || o.Tunnel != b.Tunnel || o.Control != b.Control:
			add(b, "another address or zone")
		}
	}
	for _, b := range before {
		add(b, "removed")
	}
}

// sort puts all lists in a fixed order.
func (d *differ) sort() {
	byVM := func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Zone, b.Zone))
	}
	slices.SortFunc(d.report.NoNewFlows, byVM)
	slices.SortFunc(d.report.Cold, byVM)
	slices.SortFunc(d.report.Balancers, byVM)
	slices.Sort(d.report.Added)
	for _, l := range d.losses {
		d.report.Abandoned = append(d.report.Abandoned, *l)
	}
	slices.SortFunc(d.report.Abandoned, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
}
