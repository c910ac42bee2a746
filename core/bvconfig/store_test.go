package bvconfig

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func ExampleStore_Offer() {
	s := NewStore(StoreOptions{Group: "serena"})
	for _, c := range []Config{sampleConfig(2, 6, 4), sampleConfig(1, 6, 4)} {
		switch o := s.Offer(c, start).(type) {
		case Accepted:
			fmt.Println("accepted", o.Version.Revision)
		case Older:
			fmt.Println("kept", o.Current.Revision)
		case Invalid:
			fmt.Println(o.Findings.Err())
		}
	}
	// Output:
	// accepted 2
	// kept 2
}

// TestValidate guards against each fault that would let a wrong configuration
// come into force.
func TestValidate(t *testing.T) {
	for want, change := range map[string]func(c *Config){
		`zone "a" appears twice`:            func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) },
		`service "bench" appears twice`:     func(c *Config) { c.Services = append(c.Services, c.Services[0]) },
		`have VNI 7`:                        func(c *Config) { c.Services = append(c.Services, c.Services[0]) },
		`have address 198.51.100.1:443/tcp`: func(c *Config) { c.Services = append(c.Services, c.Services[0]) },
		`VNI 16777216 is out of range`:      func(c *Config) { c.Services[0].VNI = 1 << 24 },
		`VNI 0 is out of range`:             func(c *Config) { c.Services[0].VNI = 0 },
		`has no address`:                    func(c *Config) { c.Services[0].Addresses = nil },
		`invalid address "0.0.0.0:443"`:     func(c *Config) { c.Services[0].Addresses[0] = netip.MustParseAddrPort("0.0.0.0:443") },
		`tunnel of VM "vm-000000": invalid`: func(c *Config) { c.Upstreams[0].Tunnel = netip.AddrPort{} },
		`have tunnel address`:               func(c *Config) { c.Upstreams[0].Tunnel = c.Upstreams[2].Tunnel },
		`have control address`:              func(c *Config) { c.Balancers[0].Control = c.Balancers[2].Control },
		`"vm-000000" is in zones "a" and`:   func(c *Config) { c.Upstreams[1].Name = "vm-000000" },
		`"vm-000000" appears twice`:         func(c *Config) { c.Balancers[0].Name = "vm-000000" },
		`unknown zone "x"`:                  func(c *Config) { c.Upstreams[0].Zone = "x" },
		`unknown service "x"`:               func(c *Config) { c.Upstreams[0].Service = "x" },
		`weight 0 is out of range`:          func(c *Config) { c.Upstreams[0].Weight = 0 },
		`cannot be shared by 2 balancers`:   func(c *Config) { c.Upstreams[0].Connections = 1 },
		`has no upstream`:                   func(c *Config) { c.Upstreams = nil },
		`all zones of service "bench" are`:  func(c *Config) { c.Zones[0].OutOfService = true },
		`zone "a" has upstreams but no`:     func(c *Config) { c.Balancers = nil },
		`has an invalid rate`:               func(c *Config) { c.Services[0].WarmFlowsPerSecond = math.NaN() },
		`cold rate is above the warm rate`:  func(c *Config) { c.Services[0].ColdFlowsPerSecond = 31 },
		`has a warm-up but no cold rate`:    func(c *Config) { c.Services[0].ColdFlowsPerSecond = 0 },
		`negative duration`:                 func(c *Config) { c.Services[0].WarmUp = -1 },
		`the idle timeout is not below 4h`:  func(c *Config) { c.Services[0].IdleTimeout = 4 * time.Hour },
		`has no protocol`:                   func(c *Config) { c.Services[0].Protocol = bvflow.Protocol(1) },
		`unknown class`:                     func(c *Config) { c.Services[0].Class = 9 },
		`a zone has an invalid name ""`:     func(c *Config) { c.Zones[1].Name = "" },
		`the revision is 0`:                 func(c *Config) { c.Version.Revision = 0 },
		`"se/rena" contains a slash`:        func(c *Config) { c.Group = "se/rena" },
	} {
		c := sampleConfig(1, 6, 4)
		change(&c)
		l := Validate(c)
		require.Error(t, l.Err(), want)
		assert.Contains(t, l.Err().Error(), want)
	}
	l := Validate(sampleConfig(1, 6, 4))
	require.NoError(t, l.Err())
}

// TestValidateCollision guards against two VMs whose names hash to one ID.
func TestValidateCollision(t *testing.T) {
	v := newValidator(sampleConfig(1, 4, 4))
	v.upstreamID = func(Upstream) UpstreamID { return 5 }
	v.nodeID = func(Balancer) NodeID { return 6 }
	v.upstreams()
	v.balancers()
	require.Error(t, v.findings.Err())
	assert.Contains(t, v.findings.Err().Error(), "identity 0000000000000005 is taken")
	assert.Contains(t, v.findings.Err().Error(), "identity 0000000000000006 is taken")
}

// TestIndex guards against lookups that miss the IPv4-mapped IPv6 form of an
// address or mix up protocols.
func TestIndex(t *testing.T) {
	c := sampleConfig(1, 4, 4)
	x := NewIndex(c)
	s, ok := x.ServiceAt(netip.MustParseAddrPort("[::ffff:198.51.100.1]:443"), bvflow.ProtocolTCP)
	assert.True(t, ok)
	assert.Equal(t, "bench", s.Name)
	_, ok = x.ServiceAt(netip.MustParseAddrPort("198.51.100.1:443"), bvflow.ProtocolUDP)
	assert.False(t, ok)
	u, ok := x.Upstream(c.Upstreams[3].ID())
	assert.True(t, ok)
	assert.Equal(t, c.Upstreams[3], u)
	b, ok := x.Balancer(NodeIDOf("lb-2"))
	assert.True(t, ok)
	assert.Equal(t, "lb-2", b.Name)
	z, ok := x.Zone("b")
	assert.True(t, ok && z.OutOfService)
}

// configWithRevision returns a configuration whose hash depends on content.
func configWithRevision(r uint64, content byte, balancers int) Config {
	c := sampleConfig(r, 6, balancers)
	c.Version.Hash[0] = content
	return c
}

// neverReverts offers configurations and reports whether the version in force
// never decreased.
func neverReverts(s *Store, offers ...Config) bool {
	var highest Version
	for i, c := range offers {
		s.Offer(c, start.Add(time.Duration(i)*time.Second))
		if s.Version().Compare(highest) < 0 {
			return false
		}
		highest = s.Version()
	}
	return true
}

// TestPromise10RevisionOrder guards against a node that goes back to an older
// configuration because a replica or a peer offers it late.
func TestPromise10RevisionOrder(t *testing.T) {
	offers := []Config{configWithRevision(2, 0, 4), configWithRevision(5, 0, 4), configWithRevision(3, 9, 4), configWithRevision(5, 0, 4), configWithRevision(4, 0, 4)}
	assert.True(t, neverReverts(NewStore(StoreOptions{}), offers...))
	assert.False(t, neverReverts(NewStore(StoreOptions{ignoreVersions: true}), offers...))
}

// TestPromise10StaleReplica guards against a restarted balancer that keeps the
// state of a stale platform replica although its peers have a newer one.
func TestPromise10StaleReplica(t *testing.T) {
	stale, peer := configWithRevision(7, 0, 4), configWithRevision(9, 0, 4)
	for name, order := range map[string][]Config{"platform first": {stale, peer}, "peer first": {peer, stale}} {
		s := NewStore(StoreOptions{})
		assert.True(t, neverReverts(s, order...), name)
		assert.Equal(t, peer.Version, s.Version(), name)
	}
	s := NewStore(StoreOptions{ignoreVersions: true})
	assert.False(t, neverReverts(s, peer, stale))
}

// TestPromise10Race guards against nodes that keep different configurations
// after two operators have published with the same revision.
func TestPromise10Race(t *testing.T) {
	low, high := configWithRevision(4, 1, 4), configWithRevision(4, 2, 4)
	run := func(o StoreOptions) bool {
		a, b := NewStore(o), NewStore(o)
		neverReverts(a, configWithRevision(3, 0, 4), low, high)
		neverReverts(b, configWithRevision(3, 0, 4), high, low)
		return a.Version() == b.Version()
	}
	assert.True(t, run(StoreOptions{}))
	assert.False(t, run(StoreOptions{ignoreVersions: true}))
	s := NewStore(StoreOptions{})
	assert.Equal(t, Accepted{Version: low.Version}, s.Offer(low, start))
	assert.Equal(t, Conflict{Offered: high.Version, Previous: low.Version, Adopted: true, BaseReplaced: true}, s.Offer(high, start))
	assert.Equal(t, Conflict{Offered: low.Version, Previous: high.Version}, s.Offer(low, start))
	assert.Equal(t, Same{}, s.Offer(high, start))
}

// TestPromise10Invalid guards against an invalid configuration that replaces
// the accepted one.
func TestPromise10Invalid(t *testing.T) {
	invalid := configWithRevision(8, 0, 4)
	invalid.Upstreams = nil
	otherGroup := configWithRevision(9, 0, 4)
	otherGroup.Group = "tuul"
	for skipValidation, want := range map[bool]uint64{false: 7, true: 9} {
		s := NewStore(StoreOptions{skipValidation: skipValidation})
		s.Offer(configWithRevision(7, 0, 4), start)
		o, _ := s.Offer(invalid, start).(Invalid)
		assert.Equal(t, !skipValidation, o.Findings.Len() > 0)
		s.Offer(otherGroup, start)
		assert.Equal(t, want, s.Version().Revision)
	}
}

// TestPromise10PlatformUnavailable guards against a configuration that expires while
// the platform is unreachable for a day, and against a stale one when it is back.
func TestPromise10PlatformUnavailable(t *testing.T) {
	for ignoreVersions, want := range map[bool]uint64{false: 7, true: 6} {
		s := NewStore(StoreOptions{ignoreVersions: ignoreVersions})
		s.Offer(configWithRevision(7, 0, 4), start)
		day := start.Add(24 * time.Hour)
		s.Prune(7)
		b, ok := s.Base()
		assert.True(t, ok)
		assert.Equal(t, uint64(7), b.Config.Version.Revision)
		assert.Equal(t, 2, s.CountBalancers(day, "a"))
		s.Offer(configWithRevision(6, 0, 4), day)
		assert.Equal(t, want, s.Version().Revision, "a stale platform comes back")
		assert.IsType(t, Accepted{}, s.Offer(configWithRevision(8, 0, 4), day))
	}
}

// TestStoreOrder compares the store with the maximum of all offers.
func TestStoreOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, highest := NewStore(StoreOptions{}), Version{}
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			c := configWithRevision(rapid.Uint64Range(1, 6).Draw(t, "revision"), rapid.Byte().Draw(t, "hash"), 4)
			if c.Version.Compare(highest) > 0 {
				highest = c.Version
			}
			s.Offer(c, start)
			require.Equal(t, highest, s.Version())
			require.True(t, slices.IsSortedFunc(s.generations, func(a, b Generation) int {
				return a.Config.Version.Compare(b.Config.Version)
			}))
		}
	})
}

// TestStoreBase guards against a base that moves up before the base retention
// period is over, and against lists that are removed while a peer uses them.
func TestStoreBase(t *testing.T) {
	s := NewStore(StoreOptions{})
	s.Offer(configWithRevision(1, 0, 4), start)
	s.Offer(configWithRevision(2, 0, 4), start.Add(time.Hour))
	_, ok := s.BaseCandidate(start.Add(5*time.Hour - 1))
	assert.False(t, ok)
	require.ErrorIs(t, s.SetBase(start.Add(4*time.Hour), 2), ErrNotRetained)
	s.Offer(configWithRevision(3, 0, 4), start.Add(2*time.Hour))
	g, ok := s.BaseCandidate(start.Add(5 * time.Hour))
	require.True(t, ok)
	assert.Equal(t, uint64(2), g.Config.Version.Revision)
	require.NoError(t, s.SetBase(start.Add(5*time.Hour), 2))
	s.Prune(1)
	_, ok = s.At(1)
	assert.True(t, ok, "a peer still announces base revision 1")
	s.Prune(2)
	_, ok = s.At(1)
	assert.False(t, ok)

	require.ErrorIs(t, s.SetBase(start.Add(9*time.Hour), 1), ErrNotRetained)
	assert.True(t, s.Retain(configWithRevision(1, 0, 4), 10*time.Hour, start))
	assert.False(t, s.Retain(configWithRevision(4, 0, 4), 0, start), "never changes what is in force")
	require.NoError(t, s.AdoptBase(1))
	b, _ := s.Base()
	assert.Equal(t, uint64(1), b.Config.Version.Revision)
	assert.Equal(t, uint64(3), s.Version().Revision)
}

// TestStoreBaseRace guards against different base lists on nodes that received
// different configurations with the same revision just before the next one.
func TestStoreBaseRace(t *testing.T) {
	run := func(o StoreOptions, apart time.Duration) bool {
		var bases []Version
		for content := range byte(2) {
			s := NewStore(o)
			s.Offer(configWithRevision(1, 0, 4), start)
			s.Offer(configWithRevision(2, content, 4), start.Add(time.Hour))
			s.Offer(configWithRevision(3, 0, 4), start.Add(time.Hour+apart))
			for at := range 9 {
				now := start.Add(time.Duration(at) * time.Hour)
				if g, ok := s.BaseCandidate(now); ok {
					require.NoError(t, s.SetBase(now, g.Config.Version.Revision))
					bases = append(bases, g.Config.Version)
					break
				}
			}
		}
		return bases[0] == bases[1]
	}
	assert.True(t, run(StoreOptions{}, time.Second))
	assert.False(t, run(StoreOptions{skipMinTimeInForce: true}, time.Second))
}

// TestStoreBalancers guards against a share that increases while a balancer may
// still use the earlier list.
func TestStoreBalancers(t *testing.T) {
	s := NewStore(StoreOptions{})
	s.Offer(configWithRevision(1, 0, 8), start)
	s.Offer(configWithRevision(2, 0, 4), start.Add(time.Hour))
	assert.Equal(t, 4, s.CountBalancers(start.Add(time.Hour+ShareWindow-1), "a"))
	assert.Equal(t, 2, s.CountBalancers(start.Add(time.Hour+ShareWindow), "a"))
	assert.Equal(t, 0, s.CountBalancers(start, "x"))
}

// TestStoreBalancersReplaced guards against shares that add up to more than a
// limit while a replaced balancer is partitioned and still uses its share.
func TestStoreBalancersReplaced(t *testing.T) {
	s := NewStore(StoreOptions{})
	s.Offer(configWithRevision(1, 0, 8), start)
	c := configWithRevision(2, 0, 8)
	c.Balancers[0].Name = "replacement"
	require.IsType(t, Accepted{}, s.Offer(c, start.Add(time.Hour)))
	zone := c.Balancers[0].Zone
	assert.Equal(t, 5, s.CountBalancers(start.Add(time.Hour), zone))
	assert.Equal(t, 4, s.CountBalancers(start.Add(time.Hour+ShareWindow), zone))
}
