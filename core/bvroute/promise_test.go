package bvroute

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// guaranteeCase is a sequence of events under which one of the load balancer's
// numbered guarantees must hold. violations runs the sequence and returns the
// number of flows or packets that violate the guarantee. The number must be 0
// with all mechanisms enabled. It must be positive if the mechanisms in without
// are disabled, which shows that the case detects the failure.
type guaranteeCase struct {
	name       string
	without    mechanism
	violations func(*cluster) int
}

func runGuarantee(t *testing.T, cases []guaranteeCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Zero(t, c.violations(newCluster(t, 4, 0)), "the guarantee is violated")
			assert.NotZero(t, c.violations(newCluster(t, 4, c.without)), "the case does not detect that the mechanism is disabled")
		})
	}
}

// allChanges drains two upstreams and adds two, kills a balancer and lets
// another one join, while half of the nodes have the new configuration.
func allChanges(f *cluster) int {
	f.trace = f.disabled == 0
	cs := f.openMany(0, 1000)
	f.publish(combine(drain("board0", "board3"), add("board", 20, 21)), 0.5)
	cs = append(cs, f.openMany(1000, 1000)...)
	n := f.broken(cs)
	f.kill(f.nodes[5])
	n += f.broken(cs)
	f.join("n90", "b")
	cs = append(cs, f.openMany(2000, 500)...)
	n += f.broken(cs)
	f.rollOut(1)
	require.Equal(f, 2500, len(cs))
	return n + f.broken(cs)
}

// TestPromise1EstablishedFlowsSurvive guards against flows that change their
// upstream when balancers, upstreams and configurations change.
func TestPromise1EstablishedFlowsSurvive(t *testing.T) {
	runGuarantee(t, []guaranteeCase{
		{"all changes together, without replicas", replication, allChanges},
		{"all changes together, without base picks", basePicking, allChanges},
		{"idle for an hour", basePicking, func(f *cluster) int {
			cs := f.openMany(0, 1000)
			f.publish(combine(drain("board0"), add("board", 20, 21)), 1)
			cs = append(cs, f.openMany(1000, 500)...)
			f.kill(f.nodes[2])
			f.sweep()
			f.advanceTime(time.Hour)
			return f.broken(cs)
		}},
		{"active for longer than the idle timeout", renewals, func(f *cluster) int {
			f.publish(combine(drain("board0"), add("board", 20, 21)), 1)
			cs := f.openMany(0, 500)
			n := 0
			for range 30 {
				f.advanceTime(10 * time.Minute)
				n += f.broken(cs)
			}
			f.kill(f.nodes[2])
			return n + f.broken(cs)
		}},
		{"half-closed", basePicking, func(f *cluster) int {
			cs := f.openMany(0, 500)
			f.publish(combine(drain("board0"), add("board", 20, 21)), 1)
			cs = append(cs, f.openMany(500, 500)...)
			n := 0
			for _, c := range cs {
				if d := f.send(c, bvflow.PhaseClosing, 0); d.Upstream != c.upstream {
					n++
				}
			}
			f.advanceTime(10 * time.Minute)
			return n + f.broken(cs)
		}},
		{"zone goes out of service and returns", replication, func(f *cluster) int {
			f.publish(setOutOfService("b", true), 1)
			f.sweep()
			cs := f.openMany(0, 500)
			f.publish(setOutOfService("b", false), 1)
			cs = append(cs, f.openMany(500, 500)...)
			n := f.broken(cs)
			f.kill(f.nodes[0])
			return n + f.broken(cs)
		}},
		{"base revision advances", handovers, func(f *cluster) int {
			cs := f.openMany(0, 500)
			f.publish(combine(drain("board0", "board1"), add("board", 20, 21)), 1)
			for _, r := range [][]Base{
				{f.nodes[0].bases[0], {Revision: 9, Upstreams: f.config.Upstreams}}, {{Revision: 9, Upstreams: f.config.Upstreams}},
			} {
				for _, n := range f.nodes {
					n.bases = r
				}
				f.updateSnapshots()
				f.sweep()
			}
			f.kill(f.nodes[0])
			return f.broken(cs)
		}},
	})
}

// TestPromise2AddressReused guards against packets that reach another service
// after the address of an upstream or a service has been reassigned.
func TestPromise2AddressReused(t *testing.T) {
	runGuarantee(t, []guaranteeCase{
		{"upstream address", serviceChecks, func(f *cluster) int {
			cs := f.openMany(0, 300)
			f.config.Upstreams = f.config.Upstreams[2:] // Removes board0 and feed0.
			reused := newUpstream("feed", 30)
			reused.Tunnel = newUpstream("board", 0).Tunnel
			f.publish(func(c *bvconfig.Config) { c.Upstreams = append(c.Upstreams, reused) }, 1)
			n := 0
			for _, c := range cs {
				if d := f.send(c, bvflow.PhaseEstablished, 1); d.Verdict == VerdictUpstream && d.Tunnel == reused.Tunnel {
					n++
				}
			}
			return n
		}},
		{"service address", serviceChecks, func(f *cluster) int {
			cs := f.openMany(0, 300)
			f.publish(func(c *bvconfig.Config) {
				c.Services[1].Addresses = c.Services[0].Addresses
				c.Services[1].Protocol = bvflow.ProtocolTCP
				c.Services[0].Addresses = nil
			}, 1)
			n := 0
			for _, c := range cs {
				if d := f.send(c, bvflow.PhaseOpening, 0); d.Verdict == VerdictUpstream && d.VNI != 2 {
					n++
				}
			}
			return n
		}},
	})
}

// TestPromise4ZoneOut guards against packets to a zone that operators have
// taken out of service.
func TestPromise4ZoneOut(t *testing.T) {
	runGuarantee(t, []guaranteeCase{{"zone out of service", zoneChecks, func(f *cluster) int {
		cs := f.openMany(0, 500)
		f.publish(setOutOfService("b", true), 1)
		n := 0
		for i, c := range cs {
			for _, d := range []Decision{f.send(c, bvflow.PhaseEstablished, 1), f.send(f.tcp(1000+i), bvflow.PhaseOpening, 0)} {
				if d.Verdict == VerdictUpstream && f.upstreamZones[d.Upstream] == "b" {
					n++
				}
			}
		}
		return n
	}}})
}

func (f *cluster) setLimitersFull(full bool) {
	for _, n := range f.nodes {
		n.limiter.rejectAll = full
	}
}

// TestPromise6RefusalsAreTrue guards against refusing a request that has been
// or will be sent to an upstream.
func TestPromise6RefusalsAreTrue(t *testing.T) {
	runGuarantee(t, []guaranteeCase{
		{"late retransmission of the opening", tombstones, func(f *cluster) int {
			n, refused := 0, 0
			for i := range 300 {
				c := f.tcp(i)
				f.setLimitersFull(true)
				if f.send(c, bvflow.PhaseOpening, 100).Verdict == VerdictRefuse {
					refused++
				}
				f.setLimitersFull(false)
				if f.send(c, bvflow.PhaseOpening, 100).Verdict == VerdictUpstream {
					n++
				}
			}
			require.Equal(f, 300, refused)
			return n
		}},
		{"owner fails before the late retransmission", replication, func(f *cluster) int {
			f.setLimitersFull(true)
			for i := range 300 {
				f.send(f.tcp(i), bvflow.PhaseOpening, 100)
			}
			f.kill(f.nodes[0])
			f.setLimitersFull(false)
			n := 0
			for i := range 300 {
				if f.send(f.tcp(i), bvflow.PhaseOpening, 100).Verdict == VerdictUpstream {
					n++
				}
			}
			return n
		}},
		{"previous owner has sent the opening", certainRefusals, func(f *cluster) int {
			f.publish(func(c *bvconfig.Config) { c.Services[0].Idempotent = true }, 1)
			f.advanceTime(2 * time.Minute)
			for i := range 300 {
				f.send(f.tcp(i), bvflow.PhaseOpening, 100)
			}
			f.kill(f.nodes[0])
			f.setLimitersFull(true)
			n := 0
			for i := range 300 {
				if f.send(f.tcp(i), bvflow.PhaseOpening, 100).Verdict == VerdictRefuse {
					n++
				}
			}
			return n
		}},
	})
}

// TestPromise7AtMostOnce guards against retransmissions of an opening packet
// with a request that reach a second upstream.
func TestPromise7AtMostOnce(t *testing.T) {
	for _, protocol := range []struct {
		name  string
		phase bvflow.Phase
		open  func(*cluster, int) *flow
	}{
		{"TCP fast open", bvflow.PhaseOpening, (*cluster).tcp}, {"UDP", bvflow.PhaseDatagram, (*cluster).udp},
	} {
		t.Run(protocol.name, func(t *testing.T) {
			runGuarantee(t, []guaranteeCase{{"owner changes between retransmissions", openingWindow | replication, func(f *cluster) int {
				const flows = 600
				seen := make([]map[bvconfig.UpstreamID]bool, flows)
				sendOpenings := func() {
					for i := range flows {
						if seen[i] == nil {
							seen[i] = map[bvconfig.UpstreamID]bool{}
						}
						if d := f.send(protocol.open(f, i), protocol.phase, 100); d.Verdict == VerdictUpstream {
							seen[i][d.Upstream] = true
						}
					}
				}
				change := combine(combine(drain("board0", "feed0"), add("board", 20, 22)), add("feed", 20, 22))
				f.nodes[0].limiter.remaining[newUpstream("board", 1).ID()] = 3
				f.nodes[0].limiter.remaining[newUpstream("feed", 1).ID()] = 3
				sendOpenings()
				f.publish(change, 0.5)
				sendOpenings()
				f.kill(f.nodes[3])
				sendOpenings()
				f.join("n90", "b")
				sendOpenings()
				f.rollOut(1)
				sendOpenings()
				f.advanceTime(3 * time.Second)
				sendOpenings()
				n := 0
				for _, s := range seen {
					n += max(len(s)-1, 0)
				}
				return n
			}}})
		})
	}
}

// TestPromise8LeavingUpstream guards against new flows to a draining upstream.
func TestPromise8LeavingUpstream(t *testing.T) {
	runGuarantee(t, []guaranteeCase{{"draining", leavingChecks, func(f *cluster) int {
		f.publish(drain("board0", "board1"), 1)
		n := 0
		for _, c := range f.openMany(0, 1000) {
			if name := f.upstreamNames[c.upstream]; name == "board0" || name == "board1" {
				n++
			}
		}
		return n
	}}})
}

// TestPromise9PlannedStop guards against exceptions that are lost when the
// owner and then the second-ranked balancer stop as planned.
func TestPromise9PlannedStop(t *testing.T) {
	runGuarantee(t, []guaranteeCase{{"three stops", handovers, func(f *cluster) int {
		f.publish(combine(drain("board0", "board1"), add("board", 20, 21)), 1)
		cs := f.openMany(0, 1000)
		n := 0
		for range 3 {
			f.advanceTime(30 * time.Minute) // The flows are idle.
			f.leave(f.nodes[0])
			f.sweep()
		}
		return n + f.broken(cs)
	}}})
}

// TestPromise1ZoneReturns guards against packets that follow an entry from
// before an outage of its zone, after the flow was placed elsewhere during the
// outage.
func TestPromise1ZoneReturns(t *testing.T) {
	runGuarantee(t, []guaranteeCase{{"owners keep old entries", outageChecks, func(f *cluster) int {
		f.openMany(0, 600)
		f.publish(setOutOfService("b", true), 1)
		f.advanceTime(2 * time.Minute)
		cs := f.openMany(0, 600) // The callers open the same flows again.
		f.publish(setOutOfService("b", false), 1)
		return f.broken(cs)
	}}})
}

// TestClosedFlowsAreNotCounted guards against closed flows that stay in the
// open-flow counts and use up the limits of upstreams. The owner misses the end
// of a flow if another balancer has an entry for it and delivers the closing
// packet directly.
func TestClosedFlowsAreNotCounted(t *testing.T) {
	runGuarantee(t, []guaranteeCase{{"zone returns", closingRecords, func(f *cluster) int {
		f.publish(setOutOfService("b", true), 1)
		f.sweep()
		f.publish(setOutOfService("b", false), 1)
		for _, c := range f.openMany(0, 500) {
			f.send(c, bvflow.PhaseEstablished, 1)
			f.send(c, bvflow.PhaseClosing, 0)
		}
		open := 0
		for _, n := range f.nodes {
			for _, count := range n.limiter.open {
				open += count
			}
		}
		return open
	}}})
}
