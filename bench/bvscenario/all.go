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

const removedZone = "zone-b"

// All returns the scenarios.
func All(o Options) []Scenario {
	o = o.withDefaults()
	return []Scenario{
		{Name: "quiet", options: o, steps: []step{{name: "quiet"}}},
		{Name: "drain", options: o, steps: []step{{name: "upstream drains", apply: drain}}},
		{Name: "replace", options: o, steps: []step{{
			name: "balancer is replaced", failedBalancers: []int{0}, apply: kill(0), onTick: restart(2*time.Second, 0), duration: 3 * time.Minute,
		}}},
		{Name: "zone", options: o, steps: []step{
			{name: "zone leaves", apply: takeZoneOut},
			{name: "zone returns, warm", apply: returnZoneWarm},
		}},
		{Name: "cold zone", options: o, steps: []step{
			{name: "zone leaves (again)", apply: takeZoneOut},
			{name: "zone returns, restarted", apply: returnZoneCold},
		}},
		{Name: "two zones", options: o, steps: []step{{
			name: "two crash, two zones, with a drain", failedBalancers: []int{0, 1}, apply: both(kill(0, 1), drain),
			onTick: restart(5*time.Second, 0, 1), duration: 3 * time.Minute,
		}}},
		{Name: "one zone", options: o, steps: []step{{
			name: "two crash, whole zone, with a drain", failedBalancers: []int{0, 4}, apply: both(kill(0, 4), drain),
			onTick: restart(5*time.Second, 0, 4), duration: 3 * time.Minute,
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

func takeZoneOut(r *run) error {
	r.load.AbandonZone(removedZone)
	return r.Change(setOutOfService(removedZone, true))
}

func returnZoneWarm(r *run) error { return r.Change(setOutOfService(removedZone, false)) }

func returnZoneCold(r *run) error {
	// The balancers have seen the former start time before.
	r.reportRestart(removedZone, r.Now().Add(-time.Hour))
	r.reportRestart(removedZone, r.Now())
	return r.Change(setOutOfService(removedZone, false))
}
