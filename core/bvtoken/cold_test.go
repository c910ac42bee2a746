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

// TestColdBudgetOfFleet guards against cold upstreams that get more than they
// bear in a fleet larger than the settings expect, and against a service whose
// upstreams are all cold and get nothing: pattern of a zone whose upstreams come
// back together. A seed is replaced meanwhile, so one more than listed believes
// that it is a seed.
func TestColdBudgetOfFleet(t *testing.T) {
	const (
		slack  = 5.0 // Flows a second that a cold upstream bears.
		length = 3 * time.Second
		step   = 50 * time.Millisecond
	)
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8166)
	}
	seeds := []netip.AddrPort{address(0), address(1), address(2)}
	after := []netip.AddrPort{address(3), address(1), address(2)}
	for _, balancers := range []int{8, 70, 352, 15_000} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			f := newFixture(11)
			f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = time.Hour })
			begin := f.now
			var taken []time.Time
			for i := range balancers {
				known := seeds
				if i == 3 {
					known = after
				}
				f.now = begin
				f.router = New(Options{
					Zone: "zone-a", ColdBalancers: ColdBalancers(address(i), known), ColdSlack: slack, MaxPending: 64,
				}, f.catalog)
				for f.now.Sub(begin) < length {
					if f.open(f.caller(feeds)).Verdict == VerdictForward {
						taken = append(taken, f.now)
					}
					f.now = f.now.Add(step)
				}
			}
			slices.SortFunc(taken, time.Time.Compare)
			for i := range taken {
				j := i
				for j < len(taken) && taken[j].Sub(taken[i]) < time.Second {
					j++
				}
				require.LessOrEqual(t, j-i, int(slack), "in the second from %s", taken[i].Sub(begin))
			}
			assert.NotEmpty(t, taken)
		})
	}
}

// TestSetColdBalancers guards against a balancer that goes on with the budget
// of a seed after the settings name others.
func TestSetColdBalancers(t *testing.T) {
	f := newFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = time.Hour })
	f.router = New(Options{Zone: "zone-a", ColdBalancers: 4, ColdSlack: 5}, f.catalog)
	assert.Equal(t, ReasonColdBudget, f.open(f.caller(feeds)).Reason, "a process before may have used the budget")
	f.pass(time.Second)
	assert.Equal(t, VerdictForward, f.open(f.caller(feeds)).Verdict)
	f.router.SetColdBalancers(0)
	f.pass(2 * time.Second)
	assert.Equal(t, ReasonColdBudget, f.open(f.caller(feeds)).Reason)
	f.router.SetColdBalancers(4)
	f.pass(2 * time.Second)
	assert.Equal(t, VerdictForward, f.open(f.caller(feeds)).Verdict)
}
