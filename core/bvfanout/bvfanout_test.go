package bvfanout

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func follower(n int, zone string) Follower {
	a := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	return Follower{Address: netip.AddrPortFrom(a, 6082), Zone: zone}
}

// TestAdmit guards against more followers than a balancer can serve, against a
// follower that loses its place while it keeps asking, and against a redirect
// to a follower whose lease has expired.
func TestAdmit(t *testing.T) {
	f := New(Options{Zone: "a", MaxSameZone: 3, MaxPerOtherZone: 1, MaxOtherZones: 1})
	now := start
	assert.Empty(t, f.Admit(now, follower(1, "b")))
	assert.Equal(t, []netip.AddrPort{follower(1, "b").Address}, f.Admit(now, follower(2, "b")), "another balancer of that zone has the place")
	assert.Empty(t, f.Admit(now, Follower{Zone: "b"}), "it cannot be followed")
	assert.Equal(t, []netip.AddrPort{follower(1, "b").Address}, f.Admit(now, follower(3, "c")), "all places of other zones are taken")
	for n := 10; n < 13; n++ {
		assert.Empty(t, f.Admit(now, follower(n, "a")))
	}
	redirects := f.Admit(now, follower(13, "a"))
	assert.Len(t, redirects, maxRedirects)
	assert.Equal(t, redirects, f.Admit(now, follower(13, "a")), "the same redirects while their leases last")
	assert.Equal(t, 4, f.Len(now))
	for range 10 {
		now = now.Add(3 * time.Second)
		assert.Empty(t, f.Admit(now, follower(1, "b")), "it keeps its place")
	}
	assert.Equal(t, 1, f.Len(now), "the leases of the others have expired")
	assert.Empty(t, f.Admit(now, follower(13, "a")))
	now = now.Add(4 * time.Second)
	assert.Empty(t, f.Admit(now, follower(2, "b")))
}

// TestTree guards against a tree in which a balancer gets more followers than
// its byte budget for control allows, a balancer finds no place, or the
// depth grows with the number of balancers. The whole fleet starts at once with
// three seeds, each in a different zone.
func TestTree(t *testing.T) {
	const (
		seeds        = 3
		maxFollowers = 16
		// A hop takes 0.3 s, and a change must be in force everywhere within 20 s.
		maxDepth = 12
	)
	for _, tt := range []struct{ balancers, zones int }{{8, 4}, {80, 4}, {300, 4}, {3000, 4}, {15000, 4}, {300, 12}, {15000, 12}} {
		t.Run(fmt.Sprintf("%d balancers in %d zones", tt.balancers, tt.zones), func(t *testing.T) {
			zone := func(i int) string { return string(rune('a' + i%tt.zones)) }
			nodes := map[netip.AddrPort]*Fanout{}
			depth := map[netip.AddrPort]int{}
			for i := range tt.balancers {
				x := follower(i, zone(i))
				nodes[x.Address] = New(Options{Zone: x.Zone})
			}
			betweenZones := 0
			for i := seeds; i < tt.balancers; i++ {
				x := follower(i, zone(i))
				at := follower(i*7%seeds, "").Address
				for hops := 0; ; hops++ {
					require.LessOrEqual(t, hops, maxDepth, "no place after too many redirects")
					redirects := nodes[at].Admit(start, x)
					if len(redirects) == 0 {
						break
					}
					require.NotContains(t, redirects, x.Address, "it cannot follow itself")
					at = redirects[0]
				}
				depth[x.Address] = depth[at] + 1
				require.LessOrEqual(t, depth[x.Address], maxDepth)
				if nodes[at].options.Zone != x.Zone {
					betweenZones++
				}
			}
			for _, f := range nodes {
				require.LessOrEqual(t, f.Len(start), maxFollowers)
			}
			t.Logf("depth %d, %d followers in another zone", slices.Max(slices.Collect(maps.Values(depth))), betweenZones)
			assert.LessOrEqual(t, betweenZones, seeds*(tt.zones-1)*2, "followers in another zone")
		})
	}
}

// ExampleFanout_Admit shows a balancer that is full for a zone.
func ExampleFanout_Admit() {
	f := New(Options{Zone: "a", MaxPerOtherZone: 1})
	fmt.Println(f.Admit(start, follower(1, "b")))
	fmt.Println(f.Admit(start, follower(2, "b")))
	// Output:
	// []
	// [10.0.0.1:6082]
}
