package bvscenario

import (
	"time"

	"balsamvane/core/bvconfig"
)

// The rates of new flows of one upstream: 24,000 new flows a second give each
// of the 14 upstreams 1,286 and each of the 4 1,500 a second.
const (
	coldRate = 100
	warmRate = 3000
	warmUp   = 30 * time.Second
)

const leavingZone = "zone-b"

// All returns the scenarios.
func All(o Options) []Scenario {
	o = o.withDefaults()
	return []Scenario{
		{Name: "quiet", o: o, steps: []step{{name: "quiet"}}},
		{Name: "drain", o: o, steps: []step{{name: "upstream drains", apply: drain}}},
		{Name: "replace", o: o, steps: []step{{
			name: "balancer is replaced", lost: []int{0}, apply: kill(0), later: restart(2*time.Second, 0), after: 3 * time.Minute,
		}}},
		{Name: "zone", o: o, steps: []step{
			{name: "zone leaves", apply: leave},
			{name: "zone returns, warm", apply: returnWarm},
		}},
		{Name: "cold zone", o: o, steps: []step{
			{name: "zone leaves (again)", apply: leave},
			{name: "zone returns, restarted", apply: returnCold},
		}},
		{Name: "two zones", o: o, steps: []step{{
			name: "two crash, two zones, with a drain", lost: []int{0, 1}, apply: both(kill(0, 1), drain),
			later: restart(5*time.Second, 0, 1), after: 3 * time.Minute,
		}}},
		{Name: "one zone", o: o, steps: []step{{
			name: "two crash, whole zone, with a drain", lost: []int{0, 4}, apply: both(kill(0, 4), drain),
			later: restart(5*time.Second, 0, 4), after: 3 * time.Minute,
		}}},
	}
}

// drain takes the first upstream of the first service out of use.
func drain(r *run) error {
	return r.Change(func(c *bvconfig.Config) { c.Upstreams[0].Leaving = true })
}

func kill(members ...int) func(*run) error {
	return func(r *run) error {
		for _, i := range members {
			r.Kill(i)
		}
		return nil
	}
}

// restart starts nodes with empty tables some time after the change.
func restart(after time.Duration, members ...int) func(*run, time.Duration) {
	return func(r *run, since time.Duration) {
		if since != after {
			return
		}
		for _, i := range members {
			r.StartNode(i)
		}
	}
}

func both(f, g func(*run) error) func(*run) error {
	return func(r *run) error {
		if err := f(r); err != nil {
			return err
		}
		return g(r)
	}
}

func leave(r *run) error {
	r.load.GiveUp(leavingZone)
	return r.Change(zoneOut(leavingZone, true))
}

func returnWarm(r *run) error { return r.Change(zoneOut(leavingZone, false)) }

func returnCold(r *run) error {
	// The balancers have seen the former start time before.
	r.restarted(leavingZone, r.Now().Add(-time.Hour))
	r.restarted(leavingZone, r.Now())
	return r.Change(zoneOut(leavingZone, false))
}
