package bvfanout

import (
	"fmt"
	"net/netip"
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

// TestAsk guards against more followers than a balancer can bear, against a
// follower that loses its place while it keeps asking, and against balancers
// that are sent to one that has left.
func TestAsk(t *testing.T) {
	f := New(Options{Zone: "a", SameZone: 3, OtherZone: 1})
	now := start
	assert.Empty(t, f.Ask(now, follower(1, "b")))
	assert.Equal(t, []netip.AddrPort{follower(1, "b").Address}, f.Ask(now, follower(2, "b")), "another one of that zone has the place")
	assert.Empty(t, f.Ask(now, Follower{Zone: "b"}), "nobody can follow it")
	for n := 10; n < 13; n++ {
		assert.Empty(t, f.Ask(now, follower(n, "a")))
	}
	others := f.Ask(now, follower(13, "a"))
	assert.Len(t, others, maxOthers)
	assert.Equal(t, others, f.Ask(now, follower(13, "a")), "the same ones, as long as they follow")
	assert.Equal(t, 4, f.Len(now))
	for range 10 {
		now = now.Add(3 * time.Second)
		assert.Empty(t, f.Ask(now, follower(1, "b")), "it keeps its place")
	}
	assert.Equal(t, 1, f.Len(now), "the others have left")
	assert.Empty(t, f.Ask(now, follower(13, "a")))
	now = now.Add(4 * time.Second)
	assert.Empty(t, f.Ask(now, follower(2, "b")))
}

// TestTree guards against a tree in which some balancer gets more followers
// than the bound, a balancer finds no place, or the depth grows with the number
// of balancers: pattern of a fleet that starts at the same moment with three
// seeds, one each in three of four zones.
func TestTree(t *testing.T) {
	for _, n := range []int{8, 80, 300, 3000, 15000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			zone := func(i int) string { return string(rune('a' + i%4)) }
			const seeds = 3
			nodes := map[netip.AddrPort]*Fanout{}
			depth := map[netip.AddrPort]int{}
			for i := range n {
				x := follower(i, zone(i))
				nodes[x.Address] = New(Options{Zone: x.Zone})
			}
			deepest, betweenZones := 0, 0
			for i := seeds; i < n; i++ {
				x := follower(i, zone(i))
				at := follower(i*7%seeds, "").Address
				for hops := 0; ; hops++ {
					require.Less(t, hops, 8, "no place after many steps")
					others := nodes[at].Ask(start, x)
					if len(others) == 0 {
						break
					}
					require.NotContains(t, others, x.Address, "it cannot follow itself")
					at = others[0]
				}
				depth[x.Address] = depth[at] + 1
				deepest = max(deepest, depth[x.Address])
				if nodes[at].options.Zone != x.Zone {
					betweenZones++
				}
			}
			most := 0
			for _, f := range nodes {
				most = max(most, f.Len(start))
			}
			assert.LessOrEqual(t, most, 16+3*2)
			assert.LessOrEqual(t, betweenZones, seeds*3*2, "followers in another zone")
			assert.LessOrEqual(t, deepest, 6)
		})
	}
}

// ExampleFanout_Ask shows a balancer that has enough followers of a zone.
func ExampleFanout_Ask() {
	f := New(Options{Zone: "a", OtherZone: 1})
	fmt.Println(f.Ask(start, follower(1, "b")))
	fmt.Println(f.Ask(start, follower(2, "b")))
	// Output:
	// []
	// [10.0.0.1:6082]
}
