package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

var start = time.Unix(1_700_000_000, 0)

var (
	feeds   = netip.MustParseAddrPort("198.51.100.1:8443") // Idempotent.
	tickets = netip.MustParseAddrPort("198.51.100.1:8080") // Not idempotent.
	unknown = netip.MustParseAddrPort("198.51.100.9:80")
)

// fixture is a router with the catalog that it reads and a clock.
type fixture struct {
	catalog  *bvcatalog.Catalog
	router   *Router
	now      time.Time
	revision bvcatalog.Revision
	callers  uint16
}

// newFixture returns a router of zone-a some time after its start. Upstream IDs
// are 10*zone+n: 11 and 12 are in zone-a, 21 and 22 in zone-b.
func newFixture(upstreams ...bvconfig.UpstreamID) *fixture {
	f := newStartingFixture(upstreams...)
	f.pass(3 * time.Second)
	return f
}

// newStartingFixture returns a router that has just listed the platform for
// the first time, so that live upstreams may not have registered yet.
func newStartingFixture(upstreams ...bvconfig.UpstreamID) *fixture {
	f := &fixture{catalog: bvcatalog.New(bvcatalog.Options{}), now: start, revision: 1}
	f.router = New(Options{Zone: "zone-a"}, f.catalog)
	cs := []bvcatalog.Change{bvcatalog.Configuration{
		Version: 1,
		Routes: []bvcatalog.Route{
			{Address: feeds, Idempotent: true, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 1}}},
			{Address: tickets, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 1}}},
		},
		Services: []bvcatalog.ServiceLimits{{Name: "desk", ColdFor: 2 * time.Second}},
	}}
	for _, id := range upstreams {
		cs = append(cs, f.entry(id))
	}
	f.catalog.Replace(f.now, 0, f.revision, cs)
	return f
}

func upstream(id bvconfig.UpstreamID) bvcatalog.Upstream {
	zone := string(rune('a' + (id/10-1)%26))
	return bvcatalog.Upstream{
		ID: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(id >> 8), byte(id)}), 8080),
		Service: "desk", Zone: "zone-" + zone, Slots: 4,
	}
}

func (f *fixture) entry(id bvconfig.UpstreamID) bvcatalog.Change {
	f.revision++
	return bvcatalog.UpstreamPut{Revision: f.revision, Upstream: upstream(id)}
}

// change writes an upstream's entry anew.
func (f *fixture) change(id bvconfig.UpstreamID, edit func(*bvcatalog.Upstream)) {
	u := upstream(id)
	edit(&u)
	f.apply(bvcatalog.UpstreamPut{Revision: f.revision + 1, Upstream: u})
}

func (f *fixture) apply(cs ...bvcatalog.Change) {
	f.revision++
	f.catalog.Apply(f.now, 0, f.revision, cs)
}

// gone removes an upstream's entry.
func (f *fixture) gone(id bvconfig.UpstreamID) {
	f.apply(bvcatalog.UpstreamRemoved{Revision: f.revision + 1, ID: id})
}

// pass lets time pass; the platform answers all the while.
func (f *fixture) pass(d time.Duration) {
	for d > 0 {
		step := min(d, time.Second)
		f.now = f.now.Add(step)
		f.catalog.Answered(f.now, 0)
		f.catalog.Tick(f.now)
		d -= step
	}
}

// flow is one flow of a caller.
type flow struct {
	tuple    bvflow.Tuple
	token    bvcatalog.Token
	upstream bvconfig.UpstreamID
	sequence uint32
	acked    uint32
}

func (f *fixture) caller(to netip.AddrPort) *flow {
	f.callers++
	source := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.7"), 1024+f.callers)
	return &flow{tuple: bvflow.Tuple{Source: source, Destination: to, Protocol: bvflow.ProtocolTCP}, sequence: 1, acked: 1}
}

func (x *flow) packet(phase bvflow.Phase, payload int) Packet {
	return Packet{
		Packet: bvflow.Packet{Tuple: x.tuple, Phase: phase, Payload: payload, Sequence: x.sequence},
		Token:  x.token, Acknowledged: x.acked,
	}
}

// open sends the opening packet.
func (f *fixture) open(x *flow) Decision {
	d := f.router.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
	if d.Verdict == VerdictForward {
		x.token, x.upstream = d.Token, d.Upstream
	}
	return d
}

// request sends a packet with data; again repeats the last one.
func (f *fixture) request(x *flow, again bool) Decision {
	if !again {
		x.sequence += 200
	}
	return f.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 200))
}

// answer lets the caller acknowledge the answer to its request.
func (f *fixture) answer(x *flow) Decision {
	x.acked += 1000
	return f.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 0))
}

// connect opens a flow whose upstream answers.
func (f *fixture) connect(to netip.AddrPort) *flow {
	x := f.caller(to)
	f.open(x)
	f.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 0))
	return x
}
