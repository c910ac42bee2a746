package bvdaemon

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// gauges holds the node's metrics, updated once a second. Ages are in seconds.
type gauges struct {
	revision, baseRevision, active tally.Gauge
	configAge, platformAge         tally.Gauge
	flows, peersAlive, imbalance   tally.Gauge
}

func newGauges(s tally.Scope) gauges {
	return gauges{
		revision: s.Gauge("revision"), baseRevision: s.Gauge("baseRevision"), active: s.Gauge("active"),
		configAge: s.Gauge("pictureAgeSeconds"), platformAge: s.Gauge("platformAgeSeconds"),
		flows: s.Gauge("flows"), peersAlive: s.Gauge("peersAlive"), imbalance: s.Gauge("imbalance"),
	}
}

// updateGauges sets the gauges from the node's current metrics.
func (d *Daemon) updateGauges(now time.Time) {
	d.mu.Lock()
	m := d.node.Metrics(now)
	d.mu.Unlock()
	active := 0.0
	if m.Active {
		active = 1
	}
	d.gauges.revision.Update(float64(m.Revision))
	d.gauges.baseRevision.Update(float64(m.BaseRevision))
	d.gauges.active.Update(active)
	d.gauges.configAge.Update(m.ConfigAge.Seconds())
	d.gauges.platformAge.Update(m.PlatformAge.Seconds())
	d.gauges.flows.Update(float64(m.Flows))
	d.gauges.peersAlive.Update(float64(m.PeersAlive))
	d.gauges.imbalance.Update(m.Imbalance)
}
