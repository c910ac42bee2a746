package bvstandupstream

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var service = netip.MustParseAddrPort("203.0.113.10:443")

// harness drives an upstream in virtual time, without sockets.
type harness struct {
	t        *testing.T
	upstream *Upstream
	clock    *clockwork.FakeClock
	conns    map[netip.AddrPort]*bvwire.Conn
	received map[netip.AddrPort]string
	sent     []bvwire.Segment // Sent by the upstream, not delivered yet.
}

func newHarness(t *testing.T, o Options) *harness {
	r := &harness{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)),
		conns: map[netip.AddrPort]*bvwire.Conn{}, received: map[netip.AddrPort]string{},
	}
	o.Name, o.Service, o.VNI = "up-1", "bench", 101
	r.upstream = New(o, r.clock, zap.NewNop())
	r.upstream.send = func(s bvwire.Segment) { r.sent = append(r.sent, s) }
	return r
}

func (r *harness) sendToUpstream(vni uint32, s bvwire.Segment) {
	b, err := bvwire.Encode(vni, s)
	require.NoError(r.t, err)
	r.upstream.handlePacket(r.clock.Now(), b)
}

// request opens a connection from port n and sends a line on it.
func (r *harness) request(n uint16, line string) netip.AddrPort {
	a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), n)
	c := bvwire.Dial(r.clock.Now(), a, service, 1, func(s bvwire.Segment) { r.sendToUpstream(101, s) })
	r.conns[a] = c
	r.deliver()
	c.Write(r.clock.Now(), []byte(line+"\n"))
	r.deliver()
	return a
}

func (r *harness) deliver() {
	for i := 0; i < len(r.sent); i++ {
		if c := r.conns[r.sent[i].Destination]; c != nil {
			c.Handle(r.clock.Now(), r.sent[i])
			r.received[c.Local] += string(c.Read())
		}
	}
	r.sent = nil
}

func (r *harness) run(d time.Duration) {
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		r.clock.Advance(tickInterval)
		r.upstream.tick(r.clock.Now())
		r.deliver()
	}
}

// TestUpstreamForeignVNI guards against an upstream that serves packets of
// another service's network. Guarantee 2 relies on the VM's kernel to reject
// them.
func TestUpstreamForeignVNI(t *testing.T) {
	r := newHarness(t, Options{Slots: 4, Queue: 4})
	r.sendToUpstream(102, bvwire.Segment{Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, SYN: true})
	assert.Empty(t, r.sent)
	assert.Equal(t, map[string]uint64{"102": 1}, r.upstream.counts.Packets)
	assert.Equal(t, r.clock.Now().UnixMilli(), r.upstream.counts.LastPacketMillis)
}

// TestUpstreamUnknownFlow guards against an upstream that does not answer a
// packet of an unknown flow, which would hide a misrouted packet.
func TestUpstreamUnknownFlow(t *testing.T) {
	r := newHarness(t, Options{Slots: 4, Queue: 4})
	s := bvwire.Segment{Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, ACK: true, Sequence: 5, Acknowledgment: 9}
	r.sendToUpstream(101, s)
	assert.Equal(t, []bvwire.Segment{bvwire.ResetFor(s)}, r.sent)
}

// TestUpstreamRuns guards against wrong answers, and against run counts that
// hide a request run twice or report one that was run once.
func TestUpstreamRuns(t *testing.T) {
	r := newHarness(t, Options{Slots: 1, Queue: 2})
	ticket := r.request(1, "ticket t-1")
	certificate := r.request(2, "certificate c-1")
	late := r.request(3, "summary s-1 deadline=10")
	shed := r.request(4, "summary s-2")
	feed := r.request(5, "feed f-1")
	r.run(time.Second)
	for a, id := range map[netip.AddrPort]string{ticket: "t-1", certificate: "c-1"} {
		got, err := bvwire.ParseAnswer([]byte(r.received[a]))
		require.NoError(t, err, id)
		assert.Equal(t, id, got.ID)
		assert.Equal(t, bvwire.Body(got.Verb, id), got.Body)
	}
	assert.Equal(t, "refused summary s-1 bench up-1 deadline\n", r.received[late])
	assert.Equal(t, "refused summary s-2 bench up-1 shedding\n", r.received[shed])
	assert.Equal(t, 5, strings.Count(r.received[feed], "feed f-1 bench up-1"))
	assert.Equal(t, map[string]int{"t-1": 1, "c-1": 1, "f-1": 1}, r.upstream.counts.Ran)
}

// TestUpstreamCancel guards against a cancelled request that runs.
func TestUpstreamCancel(t *testing.T) {
	for name, cancel := range map[string]func(*bvwire.Conn, time.Time){
		"RST": func(c *bvwire.Conn, _ time.Time) { c.Reset() },
		"FIN": func(c *bvwire.Conn, now time.Time) { c.Close(now) },
	} {
		r := newHarness(t, Options{Slots: 1, Queue: 4})
		r.request(1, "ticket t-1")
		a := r.request(2, "ticket t-2")
		cancel(r.conns[a], r.clock.Now())
		r.run(time.Second)
		assert.Equal(t, map[string]int{"t-1": 1}, r.upstream.counts.Ran, name)
		assert.Equal(t, 1, r.upstream.counts.Cancelled, name)
	}
}

// TestUpstreamCold guards against a cold start that no load can overload.
// Tests of the balancer's budget for cold upstreams would then always pass.
func TestUpstreamCold(t *testing.T) {
	r := newHarness(t, Options{Slots: 4, Queue: 4, ColdFor: 3 * time.Second, ColdRate: 5, OverloadOutage: time.Second})
	for i := range uint16(5) {
		r.request(i+1, fmt.Sprintf("ticket t-%d", i))
	}
	assert.Equal(t, 0, r.upstream.counts.Overloads)
	r.request(6, "ticket t-6")
	assert.Equal(t, 1, r.upstream.counts.Overloads)
	a := r.request(7, "ticket t-7")
	r.run(500 * time.Millisecond)
	assert.Empty(t, r.received[a], "an overloaded upstream must not answer")
	assert.Equal(t, "cold", r.upstream.healthReport(r.clock.Now()).State)
	r.run(3 * time.Second)
	for i := range uint16(20) {
		r.request(i+100, fmt.Sprintf("summary s-%d", i))
		r.run(20 * time.Millisecond)
	}
	assert.Equal(t, 1, r.upstream.counts.Overloads, "a warm upstream must not be overloaded")
}

// TestUpstreamHealth guards against a health endpoint that cannot report an
// outdated or a wrong state.
func TestUpstreamHealth(t *testing.T) {
	r := newHarness(t, Options{Slots: 4, Queue: 4, ColdFor: time.Second, HealthLag: 5 * time.Second})
	assert.Equal(t, "cold", r.upstream.healthReport(r.clock.Now()).State)
	r.run(2 * time.Second)
	assert.Equal(t, "cold", r.upstream.healthReport(r.clock.Now()).State, "within HealthLag")
	r.run(4 * time.Second)
	assert.Equal(t, "warm", r.upstream.healthReport(r.clock.Now()).State)
	r.upstream.draining = true
	r.upstream.claimedState = "warm"
	r.run(6 * time.Second)
	assert.Equal(t, "warm", r.upstream.healthReport(r.clock.Now()).State, "claimed state")
	r.upstream.claimedState = ""
	assert.Equal(t, "draining", r.upstream.healthReport(r.clock.Now()).State)
}

// TestUpstreamDatagram guards against a retransmitted UDP request that runs
// again on the same upstream.
func TestUpstreamDatagram(t *testing.T) {
	r := newHarness(t, Options{Slots: 4, Queue: 4})
	s := bvwire.Segment{UDP: true, Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, Payload: []byte("ticket t-1\n")}
	r.sendToUpstream(101, s)
	r.sendToUpstream(101, s)
	for range 10 {
		r.clock.Advance(tickInterval)
		r.upstream.tick(r.clock.Now())
	}
	r.sendToUpstream(101, s)
	require.Len(t, r.sent, 2, "one answer, and the same for the last retransmission")
	assert.Equal(t, r.sent[0], r.sent[1])
	assert.Equal(t, map[string]int{"t-1": 1}, r.upstream.counts.Ran)
}
