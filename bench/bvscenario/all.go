package bvscenario

import (
	"time"

	"balsamvane/core/bvconfig"
)

// Limits of new flows a second for one upstream, and its warm-up time. At
// 24,000 new flows a second for the group, each of the 14 upstreams of one
// service gets 1,286 a second, and each of the 4 of the other 1,500.
const (
	coldRate = 100
	warmRate = 3000
	warmUp   = 30 * time.Second
)

const outOfServiceZone = "zone-b"

// All returns all scenarios.
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

// drain marks the first upstream of the first service as draining.
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

// restart returns a function that starts nodes with empty tables at the given
// time after the change.
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
	r.load.AbandonZone(outOfServiceZone)
	return r.Change(setOutOfService(outOfServiceZone, true))
}

func returnZoneWarm(r *run) error { return r.Change(setOutOfService(outOfServiceZone, false)) }

func returnZoneCold(r *run) error {
	// The first report gives the balancers an earlier start time, so that the
	// second one shows a restart.
	r.reportRestart(outOfServiceZone, r.Now().Add(-time.Hour))
	r.reportRestart(outOfServiceZone, r.Now())
	return r.Change(setOutOfService(outOfServiceZone, false))
}
