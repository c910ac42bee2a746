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

// rig drives an upstream in virtual time, without sockets.
type rig struct {
	t     *testing.T
	u     *Upstream
	clock *clockwork.FakeClock
	conns map[netip.AddrPort]*bvwire.Conn
	got   map[netip.AddrPort]string
	sent  []bvwire.Segment // All that the upstream has sent.
}

func newRig(t *testing.T, o Options) *rig {
	r := &rig{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)),
		conns: map[netip.AddrPort]*bvwire.Conn{}, got: map[netip.AddrPort]string{},
	}
	o.Name, o.Service, o.VNI = "up-1", "bench", 101
	r.u = New(o, r.clock, zap.NewNop())
	r.u.send = func(s bvwire.Segment) { r.sent = append(r.sent, s) }
	return r
}

func (r *rig) in(vni uint32, s bvwire.Segment) {
	b, err := bvwire.Encode(vni, s)
	require.NoError(r.t, err)
	r.u.packet(r.clock.Now(), b)
}

// request opens connection n and sends a line on it.
func (r *rig) request(n uint16, line string) netip.AddrPort {
	a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), n)
	c := bvwire.Dial(r.clock.Now(), a, service, 1, func(s bvwire.Segment) { r.in(101, s) })
	r.conns[a] = c
	r.deliver()
	c.Write(r.clock.Now(), []byte(line+"\n"))
	r.deliver()
	return a
}

func (r *rig) deliver() {
	for i := 0; i < len(r.sent); i++ {
		if c := r.conns[r.sent[i].Destination]; c != nil {
			c.Handle(r.clock.Now(), r.sent[i])
			r.got[c.Local] += string(c.Read())
		}
	}
	r.sent = nil
}

func (r *rig) run(d time.Duration) {
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		r.clock.Advance(tickInterval)
		r.u.tick(r.clock.Now())
		r.deliver()
	}
}

// TestUpstreamForeignVNI guards against an upstream that serves packets of
// another service's network (promise 2 rests on the VM's kernel there).
func TestUpstreamForeignVNI(t *testing.T) {
	r := newRig(t, Options{Slots: 4, Queue: 4})
	r.in(102, bvwire.Segment{Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, SYN: true})
	assert.Empty(t, r.sent)
	assert.Equal(t, map[string]uint64{"102": 1}, r.u.counts.Packets)
	assert.Equal(t, r.clock.Now().UnixMilli(), r.u.counts.LastPacketMillis)
}

// TestUpstreamUnknownFlow guards against an upstream that stays silent about
// a flow it does not have, which would hide a misrouted packet.
func TestUpstreamUnknownFlow(t *testing.T) {
	r := newRig(t, Options{Slots: 4, Queue: 4})
	s := bvwire.Segment{Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, ACK: true, Sequence: 5, Acknowledgment: 9}
	r.in(101, s)
	assert.Equal(t, []bvwire.Segment{bvwire.ResetFor(s)}, r.sent)
}

// TestUpstreamRuns guards against wrong answers, and against counts of runs
// that would hide or invent a request run twice.
func TestUpstreamRuns(t *testing.T) {
	r := newRig(t, Options{Slots: 1, Queue: 2})
	ticket := r.request(1, "ticket t-1")
	certificate := r.request(2, "certificate c-1")
	late := r.request(3, "summary s-1 deadline=10")
	shed := r.request(4, "summary s-2")
	feed := r.request(5, "feed f-1")
	r.run(time.Second)
	for a, id := range map[netip.AddrPort]string{ticket: "t-1", certificate: "c-1"} {
		got, err := bvwire.ParseAnswer([]byte(r.got[a]))
		require.NoError(t, err, id)
		assert.Equal(t, id, got.ID)
		assert.Equal(t, bvwire.Body(got.Verb, id), got.Body)
	}
	assert.Equal(t, "refused summary s-1 bench up-1 deadline\n", r.got[late])
	assert.Equal(t, "refused summary s-2 bench up-1 shedding\n", r.got[shed])
	assert.Equal(t, 5, strings.Count(r.got[feed], "feed f-1 bench up-1"))
	assert.Equal(t, map[string]int{"t-1": 1, "c-1": 1, "f-1": 1}, r.u.counts.Ran)
}

// TestUpstreamCancel guards against a cancelled request that runs.
func TestUpstreamCancel(t *testing.T) {
	for name, cancel := range map[string]func(*bvwire.Conn, time.Time){
		"RST": func(c *bvwire.Conn, _ time.Time) { c.Reset() },
		"FIN": func(c *bvwire.Conn, now time.Time) { c.Close(now) },
	} {
		r := newRig(t, Options{Slots: 1, Queue: 4})
		r.request(1, "ticket t-1")
		a := r.request(2, "ticket t-2")
		cancel(r.conns[a], r.clock.Now())
		r.run(time.Second)
		assert.Equal(t, map[string]int{"t-1": 1}, r.u.counts.Ran, name)
		assert.Equal(t, 1, r.u.counts.Cancelled, name)
	}
}

// TestUpstreamCold guards against a cold start that no load can overrun,
// which would make the balancer's budget look right whatever it does.
func TestUpstreamCold(t *testing.T) {
	r := newRig(t, Options{Slots: 4, Queue: 4, ColdFor: 3 * time.Second, ColdRate: 5, OverloadOutage: time.Second})
	for i := range uint16(5) {
		r.request(i+1, fmt.Sprintf("ticket t-%d", i))
	}
	assert.Equal(t, 0, r.u.counts.Overloads)
	r.request(6, "ticket t-6")
	assert.Equal(t, 1, r.u.counts.Overloads)
	a := r.request(7, "ticket t-7")
	r.run(500 * time.Millisecond)
	assert.Empty(t, r.got[a], "it answers nothing while it is down")
	assert.Equal(t, "cold", r.u.report(r.clock.Now()).State)
	r.run(3 * time.Second)
	for i := range uint16(20) {
		r.request(i+100, fmt.Sprintf("summary s-%d", i))
		r.run(20 * time.Millisecond)
	}
	assert.Equal(t, 1, r.u.counts.Overloads, "a warm upstream does not fall over")
}

// TestUpstreamHealth guards against a health endpoint that cannot lag or lie.
func TestUpstreamHealth(t *testing.T) {
	r := newRig(t, Options{Slots: 4, Queue: 4, ColdFor: time.Second, HealthLag: 5 * time.Second})
	assert.Equal(t, "cold", r.u.report(r.clock.Now()).State)
	r.run(2 * time.Second)
	assert.Equal(t, "cold", r.u.report(r.clock.Now()).State, "lagging")
	r.run(4 * time.Second)
	assert.Equal(t, "warm", r.u.report(r.clock.Now()).State)
	r.u.draining = true
	r.u.lie = "warm"
	r.run(6 * time.Second)
	assert.Equal(t, "warm", r.u.report(r.clock.Now()).State, "lying")
	r.u.lie = ""
	assert.Equal(t, "draining", r.u.report(r.clock.Now()).State)
}

// TestUpstreamDatagram guards against a retransmitted UDP request that runs
// again on the same upstream.
func TestUpstreamDatagram(t *testing.T) {
	r := newRig(t, Options{Slots: 4, Queue: 4})
	s := bvwire.Segment{UDP: true, Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: service, Payload: []byte("ticket t-1\n")}
	r.in(101, s)
	r.in(101, s)
	for range 10 {
		r.clock.Advance(tickInterval)
		r.u.tick(r.clock.Now())
	}
	r.in(101, s)
	require.Len(t, r.sent, 2, "the answer, and again for the last request")
	assert.Equal(t, r.sent[0], r.sent[1])
	assert.Equal(t, map[string]int{"t-1": 1}, r.u.counts.Ran)
}
