package bvnode

import (
	"net/netip"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/require"
)

func request(flow int, _ bvflow.Phase) bvflow.Packet {
	p := packet(flow, bvflow.PhaseOpening)
	p.Payload = 100
	return p
}

func datagram(flow int, _ bvflow.Phase) bvflow.Packet {
	p := packet(flow, bvflow.PhaseDatagram)
	p.Destination, p.Protocol, p.Payload = netip.MustParseAddrPort("192.0.2.3:53"), bvflow.ProtocolUDP, 100
	return p
}

// TestPromise3Faults guards against upstreams that get more new flows from all
// balancers together than their rate and one saved flow for each process.
func TestPromise3Faults(t *testing.T) {
	const rate = 6
	var counts map[bvconfig.UpstreamID]int
	var c *callers
	var since time.Time
	proof{
		config: func(c *bvconfig.Config) {
			c.Services[0].ColdFlowsPerSecond, c.Services[0].WarmFlowsPerSecond, c.Services[0].WarmUp = rate, rate, time.Hour
		},
		before: func(t *trial) {
			c, counts, since = newCallers(), map[bvconfig.UpstreamID]int{}, t.now
			t.sent = func(_ string, _ bvflow.Packet, d bvroute.Decision) bool {
				counts[d.Upstream]++
				return true
			}
		},
		step: func(t *trial, _ int) {
			for range 60 {
				c.opened++
				t.send(t.anyNode(), packet(c.opened, bvflow.PhaseOpening))
			}
			for u, n := range counts {
				x := t.upstreams[u]
				if limit := int(rate*t.now.Sub(since).Seconds()) + t.processes[x.Zone]; n > limit {
					t.violate("%s got %d new flows instead of %d", x.Name, n, limit)
				}
			}
		},
		steps: 40,
		off:   map[string]safeguard{"partition in the zone": fixedShares},
	}.run(t)
}

// TestPromise6Faults guards against refused openings of which a late copy
// runs, and against refusals of openings that have run.
func TestPromise6Faults(t *testing.T) {
	const flows = 60
	var refusals, runs map[int]bool
	copies := func(t *trial, from, to int) {
		for f := from; f < to; f++ {
			u, reason := t.send(t.anyNode(), request(f, bvflow.PhaseOpening))
			refusals[f] = refusals[f] || reason == refused
			runs[f] = runs[f] || u != 0
			if refusals[f] && runs[f] {
				t.violate("flow %d was refused and runs", f)
				delete(runs, f)
			}
		}
	}
	proof{
		warmUp: 70 * time.Second,
		config: func(c *bvconfig.Config) {
			for i := range c.Upstreams {
				c.Upstreams[i].Connections = 3
			}
		},
		before: func(t *trial) {
			refusals, runs = map[int]bool{}, map[int]bool{}
			copies(t, 0, flows)
			require.Greater(t.t, len(refusals), flows/3)
		},
		during: func(t *trial) {
			t.publish(func(c *bvconfig.Config) {
				for i := range c.Upstreams {
					c.Upstreams[i].Connections = 2000
				}
			})
		},
		step: func(t *trial, i int) {
			copies(t, 0, flows)
			copies(t, flows+4*i, flows+4*i+4)
		},
		steps: 50,
		off:   map[string]safeguard{"balancer killed": refusalRecords},
	}.run(t)
}

// TestPromise7Faults guards against requests in opening packets of a service
// that is not idempotent, which run at two upstreams.
func TestPromise7Faults(t *testing.T) {
	for _, payload := range []struct {
		name, off string
		service   func(int, bvflow.Phase) bvflow.Packet
	}{
		{"TCP fast open", "balancer killed", request},
		{"UDP", "balancer killed, partition in the zone", datagram},
	} {
		t.Run(payload.name, func(t *testing.T) {
			var at map[int]bvconfig.UpstreamID
			copies := func(t *trial, from, to int) {
				for f := from; f < to; f++ {
					u, _ := t.send(t.anyNode(), payload.service(f, bvflow.PhaseOpening))
					if at[f] != 0 && u != 0 && u != at[f] {
						t.violate("flow %d runs at %s and %s", f, t.upstreams[at[f]].Name, t.upstreams[u].Name)
					}
					if u != 0 {
						at[f] = u
					}
				}
			}
			proof{
				warmUp: 70 * time.Second,
				before: func(t *trial) {
					at = map[int]bvconfig.UpstreamID{}
					copies(t, 0, 40)
					t.publish(func(c *bvconfig.Config) {
						for _, u := range []string{"up-a2", "up-b1", "slots-a1", "slots-b0"} {
							leave(c, u)
						}
					})
					t.run(2 * time.Second)
					copies(t, 0, 80)
				},
				step: func(t *trial, i int) {
					copies(t, 0, 80+2*i)
				},
				steps: 40,
				off:   map[string]safeguard{payload.off: openingPayload},
			}.run(t)
		})
	}
}
