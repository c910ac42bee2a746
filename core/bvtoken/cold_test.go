package bvtoken

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestColdBudgetOfFleet guards against cold upstreams that receive more flows than
// their budget in a fleet larger than the settings expect, and against a service
// whose upstreams are all cold and receive none, as when the upstreams of a zone
// return together. A seed is replaced meanwhile, so one balancer more than listed
// acts as a seed.
func TestColdBudgetOfFleet(t *testing.T) {
	const (
		slack  = 5.0 // Flows per second that a cold upstream can take.
		length = 3 * time.Second
		step   = 50 * time.Millisecond
	)
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8166)
	}
	seeds := []netip.AddrPort{address(0), address(1), address(2)}
	replacedSeeds := []netip.AddrPort{address(3), address(1), address(2)}
	for _, balancers := range []int{8, 70, 352, 15_000} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			f := newFixture(11)
			f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = time.Hour })
			begin := f.now
			var placedAt []time.Time
			for i := range balancers {
				listed := seeds
				if i == 3 {
					listed = replacedSeeds
				}
				f.now = begin
				f.router = New(Options{
					Zone: "zone-a", ColdBalancers: ColdBalancers(address(i), listed), ColdSlack: slack, MaxPending: 64,
				}, f.catalog)
				for f.now.Sub(begin) < length {
					if f.open(f.newFlow(feeds)).Verdict == VerdictForward {
						placedAt = append(placedAt, f.now)
					}
					f.now = f.now.Add(step)
				}
			}
			slices.SortFunc(placedAt, time.Time.Compare)
			for i := range placedAt {
				j := i
				for j < len(placedAt) && placedAt[j].Sub(placedAt[i]) < time.Second {
					j++
				}
				require.LessOrEqual(t, j-i, int(slack), "in the second from %s", placedAt[i].Sub(begin))
			}
			assert.NotEmpty(t, placedAt)
		})
	}
}

// TestSetColdBalancers guards against a balancer that continues to use a seed's
// budget after the settings name other seeds.
func TestSetColdBalancers(t *testing.T) {
	f := newFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = time.Hour })
	f.router = New(Options{Zone: "zone-a", ColdBalancers: 4, ColdSlack: 5}, f.catalog)
	assert.Equal(t, ReasonColdBudget, f.open(f.newFlow(feeds)).Reason, "an earlier process may have used the budget")
	f.advance(time.Second)
	assert.Equal(t, VerdictForward, f.open(f.newFlow(feeds)).Verdict)
	f.router.SetColdBalancers(0)
	f.advance(2 * time.Second)
	assert.Equal(t, ReasonColdBudget, f.open(f.newFlow(feeds)).Reason)
	f.router.SetColdBalancers(4)
	f.advance(2 * time.Second)
	assert.Equal(t, VerdictForward, f.open(f.newFlow(feeds)).Verdict)
}
