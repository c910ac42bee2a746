package bvstandcaller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"balsamvane/standin/bvstandupstream"
	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var (
	bench  = Service{Name: "bench", Address: netip.MustParseAddrPort("203.0.113.10:443"), VNI: 101}
	tunnel = netip.MustParseAddrPort("127.0.0.9:6081")
)

// harness runs a caller with one flow; the test acts as the upstream.
type harness struct {
	caller   *Caller
	flow     *flow
	upstream *bvwire.Conn
	vni      uint32
	now      time.Time
	sent     []bvwire.Segment
}

func newHarness(s Service, verb string) *harness {
	r := &harness{now: time.Unix(1000, 0), vni: s.VNI}
	r.caller = New(Options{Duration: time.Minute}, Traffic{}, clockwork.NewFakeClockAt(r.now), zap.NewNop())
	r.caller.startedAt = r.now
	r.caller.send = func(s bvwire.Segment) { r.sent = append(r.sent, s) }
	r.caller.startRequest(r.now, s, verb, verb+"-1")
	r.flow = r.caller.allFlows[0]
	return r
}

// answer completes the handshake and sends b from the upstream.
func (r *harness) answer(b []byte) {
	r.upstream = bvwire.Accept(r.now, r.sent[0], 1, func(s bvwire.Segment) { r.flow.handle(r.now, tunnel, r.vni, s) })
	r.sent = r.sent[1:]
	r.deliverSent()
	r.upstream.Write(r.now, b)
	r.deliverSent()
}

// deliverSent passes the segments that the caller has sent to the upstream.
func (r *harness) deliverSent() {
	for ; len(r.sent) > 0; r.sent = r.sent[1:] {
		r.upstream.Handle(r.now, r.sent[0])
	}
}

func completeAnswer(service, verb, id string) []byte {
	return bvwire.Answer{Verb: verb, ID: id, Service: service, Upstream: "u", Body: bvwire.Body(verb, id)}.Format()
}

// TestCallerOutcomes guards against a caller that accepts wrong or incomplete
// answers.
func TestCallerOutcomes(t *testing.T) {
	damaged := completeAnswer("bench", "certificate", "certificate-1")
	damaged[5000]++
	for name, c := range map[string]struct {
		answer []byte
		verb   string
		want   outcome
	}{
		"complete":          {completeAnswer("bench", "ticket", "ticket-1"), "ticket", outcomeComplete},
		"another service":   {completeAnswer("certificate", "ticket", "ticket-1"), "ticket", outcomeWrongService},
		"another request":   {completeAnswer("bench", "ticket", "ticket-2"), "ticket", outcomeCorrupt},
		"another verb":      {completeAnswer("bench", "summary", "ticket-1"), "ticket", outcomeCorrupt},
		"damaged":           {damaged, "certificate", outcomeCorrupt},
		"partial":           {completeAnswer("bench", "certificate", "certificate-1")[:100], "certificate", outcomeOpen},
		"refused":           {bvwire.Answer{Verb: "ticket", ID: "ticket-1", Service: "bench", Upstream: "u", Refusal: "x"}.Format(), "ticket", outcomeRefused},
		"feed with a gap":   {[]byte("feed feed-1 bench u 1\nfeed feed-1 bench u 3\n"), "feed", outcomeCorrupt},
		"feed of another":   {[]byte("feed feed-1 certificate u 1\n"), "feed", outcomeWrongService},
		"feed without gaps": {[]byte("feed feed-1 bench u 1\nfeed feed-1 bench u 2\nfeed"), "feed", outcomeOpen},
	} {
		r := newHarness(bench, c.verb)
		r.answer(bytes.Clone(c.answer))
		assert.Equal(t, outcomeNames[c.want], outcomeNames[r.flow.outcome], name)
	}
}

// TestCallerForeignVNI guards against a caller that accepts an answer from
// another service's network.
func TestCallerForeignVNI(t *testing.T) {
	r := newHarness(bench, "ticket")
	r.vni = 102
	r.answer(completeAnswer("bench", "ticket", "ticket-1"))
	assert.Equal(t, outcomeNames[outcomeWrongService], outcomeNames[r.flow.outcome])
}

// TestCallerFeedEnds guards against broken feeds that are not counted, and
// against abandoned feeds of a zone out of service that count as broken.
func TestCallerFeedEnds(t *testing.T) {
	message := []byte("feed feed-1 bench u 1\n")
	unresponsive := func(r *harness) {
		r.now = r.now.Add(feedTimeout + time.Second)
		r.flow.tick(r.now)
	}
	reset := func(r *harness) { r.upstream.Reset() }
	for name, c := range map[string]struct {
		event        func(*harness)
		outOfService bool
		want         outcome
	}{
		"reset":                                 {reset, false, outcomeReset},
		"unresponsive":                          {unresponsive, false, outcomeUnresponsive},
		"reset in a zone out of service":        {reset, true, outcomeAbandoned},
		"unresponsive in a zone out of service": {unresponsive, true, outcomeAbandoned},
		"ended by the upstream":                 {func(r *harness) { r.upstream.Close(r.now) }, false, outcomeCorrupt},
		"closed by the caller":                  {func(r *harness) { r.caller.closeFeeds(r.now); r.closeFromUpstream() }, false, outcomeComplete},
		"open in a zone out of service":         {func(r *harness) { r.upstream.Write(r.now, []byte("feed feed-1 bench u 2\n")) }, true, outcomeOpen},
		"corrupt in a zone out of service":      {func(r *harness) { r.upstream.Write(r.now, []byte("feed feed-1 bench u 9\n")) }, true, outcomeCorrupt},
	} {
		r := newHarness(bench, "feed")
		r.answer(message)
		if c.outOfService {
			r.caller.outages[tunnel] = &outage{from: r.now}
		}
		c.event(r)
		assert.Equal(t, outcomeNames[c.want], outcomeNames[r.flow.outcome], name)
	}
}

// closeFromUpstream answers the caller's FIN with the upstream's FIN.
func (r *harness) closeFromUpstream() {
	r.deliverSent()
	r.upstream.Close(r.now)
	r.deliverSent()
}

// TestCallerZoneNotice guards against a broken feed that does not count as abandoned
// because the caller learns only later that its zone was taken out of service, and
// against one that counts although it broke before.
func TestCallerZoneNotice(t *testing.T) {
	for since, want := range map[time.Duration]outcome{
		-50 * time.Millisecond: outcomeAbandoned, 0: outcomeAbandoned, time.Millisecond: outcomeReset,
	} {
		r := newHarness(bench, "feed")
		r.answer([]byte("feed feed-1 bench u 1\n"))
		r.upstream.Reset()
		require.Equal(t, outcomeNames[outcomeReset], outcomeNames[r.flow.outcome])
		r.caller.takeOutOfService(tunnel, r.flow.endedAt.Add(since))
		assert.Equal(t, outcomeNames[want], outcomeNames[r.flow.outcome], "taken out %s after the reset", since)
	}
}

// TestCallerZoneReturns guards against a broken flow that counts as abandoned
// although its zone was back in service before the flow opened.
func TestCallerZoneReturns(t *testing.T) {
	r := newHarness(bench, "feed")
	r.caller.outages[tunnel] = &outage{from: r.now.Add(-2 * time.Second), to: r.now.Add(-time.Second)}
	r.answer([]byte("feed feed-1 bench u 1\n"))
	r.upstream.Reset()
	assert.Equal(t, outcomeNames[outcomeReset], outcomeNames[r.flow.outcome])
}

// TestCallerUnknownFlow guards against half-open connections that a delayed
// SYN leaves at an upstream, and against an endless exchange of RSTs.
func TestCallerUnknownFlow(t *testing.T) {
	r := newHarness(bench, "ticket")
	r.sent = nil
	s := bvwire.Segment{Source: bench.Address, Destination: netip.MustParseAddrPort("10.9.9.9:9"), SYN: true, ACK: true, Acknowledgment: 5}
	r.caller.handlePacket(tunnel, 101, s)
	r.caller.handlePacket(tunnel, 101, bvwire.Segment{Source: bench.Address, Destination: s.Destination, RST: true})
	assert.Equal(t, []bvwire.Segment{bvwire.ResetFor(s)}, r.sent)
}

// TestCallerRefusals guards against refusals that are not recognized.
func TestCallerRefusals(t *testing.T) {
	r := newHarness(bench, "ticket")
	r.flow.handle(r.now, tunnel, 0, bvwire.ResetFor(r.sent[0]))
	assert.Equal(t, outcomeNames[outcomeRefused], outcomeNames[r.flow.outcome], "TCP")
	udp := bench
	udp.Protocol = "udp"
	r = newHarness(udp, "ticket")
	r.flow.handle(r.now, tunnel, 0, bvwire.Segment{Unreachable: true, UDP: true})
	assert.Equal(t, outcomeNames[outcomeRefused], outcomeNames[r.flow.outcome], "UDP")
}

// TestCallerRetransmitsDatagrams guards against a caller that retransmits UDP
// requests without end, or never. Without retransmissions no request could run
// twice, and the check for that would always pass.
func TestCallerRetransmitsDatagrams(t *testing.T) {
	udp := bench
	udp.Protocol, udp.RetransmitAfter = "udp", 10*time.Millisecond
	r := newHarness(udp, "ticket")
	for _, at := range []time.Duration{9, 10, 29, 30, 69, 70} {
		r.flow.tick(r.now.Add(at * time.Millisecond))
	}
	require.Len(t, r.sent, 4, "after 0, 10, 30 and 70 ms")
	assert.Equal(t, r.sent[0], r.sent[3])
	r.flow.tick(r.now.Add(udpRequestTimeout + time.Second))
	assert.Equal(t, outcomeNames[outcomeTimedOut], outcomeNames[r.flow.outcome])
	assert.Len(t, r.sent, 4)
}

// TestViolations guards against a demo that passes although a guarantee is
// violated.
func TestViolations(t *testing.T) {
	good := func() Report {
		return Report{
			Summary: Summary{Requests: 500, Complete: 500}, Feeds: 20, FeedsComplete: 20, ServedSeconds: 20,
		}
	}
	millis := int64(5)
	for name, c := range map[string]struct {
		fault  string
		change func(*Report)
		want   int
	}{
		"no fault":                   {"", func(*Report) {}, 0},
		"one request missing":        {"", func(r *Report) { r.Complete-- }, 1},
		"few requests":               {"", func(r *Report) { r.Requests, r.Complete = 299, 299 }, 1},
		"few feeds":                  {"", func(r *Report) { r.Feeds, r.FeedsComplete = 19, 19 }, 1},
		"short":                      {"", func(r *Report) { r.ServedSeconds = 14 }, 1},
		"wrong service":              {"kill", func(r *Report) { r.WrongService = 1 }, 1},
		"false refusal":              {"kill", func(r *Report) { r.FalseRefusals = 1 }, 1},
		"ran twice":                  {"kill", func(r *Report) { r.RanTwice = 1 }, 1},
		"broken feed":                {"kill", func(r *Report) { r.BrokenFeeds = 1 }, 1},
		"counts missing":             {"", func(r *Report) { r.MissingCounts = []string{"x"} }, 1},
		"abandoned flow":             {"kill", func(r *Report) { r.Complete--; r.Abandoned = 1 }, 1},
		"abandoned flow in a zone":   {"zone", func(r *Report) { r.Complete--; r.Abandoned = 1; r.ZoneQuietMillis = &millis }, 0},
		"zone not measured":          {"zone", func(*Report) {}, 1},
		"refused when cold":          {"", func(r *Report) { r.Complete--; r.Refused = 1 }, 0},
		"refused when warm":          {"", func(r *Report) { r.Complete--; r.Refused, r.RefusedAfterWarmUp = 1, 1 }, 1},
		"2 in 100 under a fault":     {"kill", func(r *Report) { r.Complete -= 10; r.Refused, r.RefusedAfterWarmUp = 10, 10 }, 0},
		"over 2 in 100 with a fault": {"kill", func(r *Report) { r.Complete -= 11; r.Refused, r.RefusedAfterWarmUp = 11, 11 }, 1},
	} {
		r := good()
		c.change(&r)
		assert.Len(t, r.Violations(c.fault), c.want, name)
	}
}

// TestCallerRequestNumbers guards against a number of requests that depends on
// when the process is scheduled.
func TestCallerRequestNumbers(t *testing.T) {
	count := func(step time.Duration) int {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		s := bench
		s.Feeds, s.TicketsPerSecond, s.SummariesPerSecond = 5, 10, 3
		c := New(Options{Seed: 1, FeedRamp: time.Second}, Traffic{Services: []Service{s}}, clock, zap.NewNop())
		c.send = func(bvwire.Segment) {}
		c.start()
		for end := clock.Now().Add(20 * time.Second); clock.Now().Before(end.Add(step)); clock.Advance(step) {
			c.startDueRequests(clock.Now(), end)
		}
		return len(c.allFlows)
	}
	assert.Equal(t, count(time.Millisecond), count(7*time.Second))
	assert.Greater(t, count(time.Millisecond), 200)
}

// TestAudit guards against wrong counts of requests that were run twice, or
// run although refused, if an upstream has stopped or was read twice.
func TestAudit(t *testing.T) {
	running := bvstandupstream.Counts{Name: "u1", StartedAt: time.Unix(1, 0), Ran: map[string]int{"a": 1, "b": 1, "ticket-1": 1}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.NoError(t, json.NewEncoder(w).Encode(running))
	}))
	defer server.Close()
	health := netip.MustParseAddrPort(server.Listener.Addr().String())
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	running.Health = health
	r := newHarness(bench, "ticket")
	r.flow.outcome = outcomeRefused
	r.caller.traffic.Upstreams = []netip.AddrPort{health, unreachable}
	r.caller.options.CountsDir = t.TempDir()
	for name, n := range map[string]bvstandupstream.Counts{
		"u1": running, // Stopped after it was read over HTTP.
		"u2": {Name: "u2", Ran: map[string]int{"a": 1}},
		"u3": {Name: "u1", StartedAt: time.Unix(0, 0), Ran: map[string]int{"c": 2}},
	} {
		b, err := json.Marshal(n)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(r.caller.options.CountsDir, name+".json"), b, 0o600))
	}
	var got Report
	got.Opened = map[string]int{}
	r.caller.audit(&got)
	assert.Equal(t, 2, got.RanTwice, "a on two upstreams, c twice on one")
	assert.Equal(t, 1, got.FalseRefusals)
	assert.Equal(t, []string{unreachable.String()}, got.MissingCounts)
}
