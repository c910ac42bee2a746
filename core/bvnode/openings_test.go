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

func requestPacket(flow int, _ bvflow.Phase) bvflow.Packet {
	p := packet(flow, bvflow.PhaseOpening)
	p.Payload = 100
	return p
}

func datagramPacket(flow int, _ bvflow.Phase) bvflow.Packet {
	p := packet(flow, bvflow.PhaseDatagram)
	p.Destination, p.Protocol, p.Payload = netip.MustParseAddrPort("192.0.2.3:53"), bvflow.ProtocolUDP, 100
	return p
}

// TestPromise3Faults guards against upstreams that get more new flows from all
// balancers together than their rate allows, plus the one flow that each process
// may have saved up.
func TestPromise3Faults(t *testing.T) {
	const rate = 6
	var counts map[bvconfig.UpstreamID]int
	var c *callerFlows
	var since time.Time
	faultTest{
		config: func(c *bvconfig.Config) {
			c.Services[0].ColdFlowsPerSecond, c.Services[0].WarmFlowsPerSecond, c.Services[0].WarmUp = rate, rate, time.Hour
		},
		before: func(t *simulation) {
			c, counts, since = newCallerFlows(), map[bvconfig.UpstreamID]int{}, t.now
			t.onDelivery = func(_ string, _ bvflow.Packet, d bvroute.Decision) bool {
				counts[d.Upstream]++
				return true
			}
		},
		step: func(t *simulation, _ int) {
			for range 60 {
				c.opened++
				t.send(t.anyNode(), packet(c.opened, bvflow.PhaseOpening))
			}
			for u, n := range counts {
				x := t.upstreams[u]
				if limit := int(rate*t.now.Sub(since).Seconds()) + t.processes[x.Zone]; n > limit {
					t.recordViolation("%s got %d new flows instead of %d", x.Name, n, limit)
				}
			}
		},
		steps:   40,
		detects: map[string]safeguard{"partition in the zone": fixedShares},
	}.run(t)
}

// TestPromise6Faults guards against refused openings of which a late
// retransmission is delivered, and against refusals of openings that have been
// delivered.
func TestPromise6Faults(t *testing.T) {
	const flows = 60
	var refusals, runs map[int]bool
	sendOpenings := func(t *simulation, from, to int) {
		for f := from; f < to; f++ {
			u, reason := t.send(t.anyNode(), requestPacket(f, bvflow.PhaseOpening))
			refusals[f] = refusals[f] || reason == refused
			runs[f] = runs[f] || u != 0
			if refusals[f] && runs[f] {
				t.recordViolation("flow %d was refused and delivered", f)
				delete(runs, f)
			}
		}
	}
	faultTest{
		warmUp: 70 * time.Second,
		config: func(c *bvconfig.Config) {
			for i := range c.Upstreams {
				c.Upstreams[i].Connections = 3
			}
		},
		before: func(t *simulation) {
			refusals, runs = map[int]bool{}, map[int]bool{}
			sendOpenings(t, 0, flows)
			require.Greater(t.t, len(refusals), flows/3)
		},
		during: func(t *simulation) {
			t.publish(func(c *bvconfig.Config) {
				for i := range c.Upstreams {
					c.Upstreams[i].Connections = 2000
				}
			})
		},
		step: func(t *simulation, i int) {
			sendOpenings(t, 0, flows)
			sendOpenings(t, flows+4*i, flows+4*i+4)
		},
		steps:   50,
		detects: map[string]safeguard{"balancer killed": refusalRecords},
	}.run(t)
}

// TestPromise7Faults guards against requests in opening packets of a service
// that is not idempotent that run at two upstreams.
func TestPromise7Faults(t *testing.T) {
	for _, payload := range []struct {
		name, detects string
		packet        func(int, bvflow.Phase) bvflow.Packet
	}{
		{"TCP fast open", "balancer killed", requestPacket},
		{"UDP", "balancer killed, partition in the zone", datagramPacket},
	} {
		t.Run(payload.name, func(t *testing.T) {
			var upstreamOf map[int]bvconfig.UpstreamID
			sendOpenings := func(t *simulation, from, to int) {
				for f := from; f < to; f++ {
					u, _ := t.send(t.anyNode(), payload.packet(f, bvflow.PhaseOpening))
					if upstreamOf[f] != 0 && u != 0 && u != upstreamOf[f] {
						t.recordViolation("flow %d runs at %s and %s", f, t.upstreams[upstreamOf[f]].Name, t.upstreams[u].Name)
					}
					if u != 0 {
						upstreamOf[f] = u
					}
				}
			}
			faultTest{
				warmUp: 70 * time.Second,
				before: func(t *simulation) {
					upstreamOf = map[int]bvconfig.UpstreamID{}
					sendOpenings(t, 0, 40)
					t.publish(func(c *bvconfig.Config) {
						for _, u := range []string{"up-a2", "up-b1", "slots-a1", "slots-b0"} {
							markDraining(c, u)
						}
					})
					t.run(2 * time.Second)
					sendOpenings(t, 0, 80)
				},
				step: func(t *simulation, i int) {
					sendOpenings(t, 0, 80+2*i)
				},
				steps:   40,
				detects: map[string]safeguard{payload.detects: openingPayload},
			}.run(t)
		})
	}
}
