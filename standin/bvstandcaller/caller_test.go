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

// rig has a caller and one flow, whose other end the test plays.
type rig struct {
	c    *Caller
	f    *flow
	peer *bvwire.Conn
	vni  uint32
	now  time.Time
	sent []bvwire.Segment
}

func newRig(s Service, verb string) *rig {
	r := &rig{now: time.Unix(1000, 0), vni: s.VNI}
	r.c = New(Options{Duration: time.Minute}, Traffic{}, clockwork.NewFakeClockAt(r.now), zap.NewNop())
	r.c.startedAt = r.now
	r.c.send = func(s bvwire.Segment) { r.sent = append(r.sent, s) }
	r.c.begin(r.now, s, verb, verb+"-1")
	r.f = r.c.all[0]
	return r
}

// answer lets the other end send b after the handshake.
func (r *rig) answer(b []byte) {
	r.peer = bvwire.Accept(r.now, r.sent[0], 1, func(s bvwire.Segment) { r.f.handle(r.now, tunnel, r.vni, s) })
	r.sent = r.sent[1:]
	r.pump()
	r.peer.Write(r.now, b)
	r.pump()
}

// pump passes what the caller has sent to the other end.
func (r *rig) pump() {
	for ; len(r.sent) > 0; r.sent = r.sent[1:] {
		r.peer.Handle(r.now, r.sent[0])
	}
}

func body(service, verb, id string) []byte {
	return bvwire.Answer{Verb: verb, ID: id, Service: service, Upstream: "u", Body: bvwire.Body(verb, id)}.Format()
}

// TestCallerOutcomes guards against a caller that passes answers that it has
// to complain about.
func TestCallerOutcomes(t *testing.T) {
	damaged := body("bench", "certificate", "certificate-1")
	damaged[5000]++
	for name, c := range map[string]struct {
		answer []byte
		verb   string
		want   outcome
	}{
		"whole":             {body("bench", "ticket", "ticket-1"), "ticket", outcomeWhole},
		"another service":   {body("certificate", "ticket", "ticket-1"), "ticket", outcomeWrongService},
		"another request":   {body("bench", "ticket", "ticket-2"), "ticket", outcomeCorrupt},
		"another verb":      {body("bench", "summary", "ticket-1"), "ticket", outcomeCorrupt},
		"damaged":           {damaged, "certificate", outcomeCorrupt},
		"partial":           {body("bench", "certificate", "certificate-1")[:100], "certificate", outcomeOpen},
		"refused":           {bvwire.Answer{Verb: "ticket", ID: "ticket-1", Service: "bench", Upstream: "u", Refusal: "x"}.Format(), "ticket", outcomeRefused},
		"feed with a gap":   {[]byte("feed feed-1 bench u 1\nfeed feed-1 bench u 3\n"), "feed", outcomeCorrupt},
		"feed of another":   {[]byte("feed feed-1 certificate u 1\n"), "feed", outcomeWrongService},
		"feed without gaps": {[]byte("feed feed-1 bench u 1\nfeed feed-1 bench u 2\nfeed"), "feed", outcomeOpen},
	} {
		r := newRig(bench, c.verb)
		r.answer(bytes.Clone(c.answer))
		assert.Equal(t, outcomeNames[c.want], outcomeNames[r.f.outcome], name)
	}
}

// TestCallerForeignVNI guards against an answer from another service's
// network that the caller takes for its own.
func TestCallerForeignVNI(t *testing.T) {
	r := newRig(bench, "ticket")
	r.vni = 102
	r.answer(body("bench", "ticket", "ticket-1"))
	assert.Equal(t, outcomeNames[outcomeWrongService], outcomeNames[r.f.outcome])
}

// TestCallerFeedEnds guards against broken feeds that are not counted, and
// against feeds of a zone taken out that count as broken.
func TestCallerFeedEnds(t *testing.T) {
	message := []byte("feed feed-1 bench u 1\n")
	silent := func(r *rig) {
		r.now = r.now.Add(feedSilence + time.Second)
		r.f.tick(r.now)
	}
	reset := func(r *rig) { r.peer.Reset() }
	for name, c := range map[string]struct {
		happen func(*rig)
		out    bool
		want   outcome
	}{
		"reset":                   {reset, false, outcomeReset},
		"silent":                  {silent, false, outcomeSilent},
		"reset in a zone out":     {reset, true, outcomeGivenUp},
		"silent in a zone out":    {silent, true, outcomeGivenUp},
		"ended by the upstream":   {func(r *rig) { r.peer.Close(r.now) }, false, outcomeCorrupt},
		"closed by the caller":    {func(r *rig) { r.c.closeFeeds(r.now); r.finish() }, false, outcomeWhole},
		"going on in a zone out":  {func(r *rig) { r.peer.Write(r.now, []byte("feed feed-1 bench u 2\n")) }, true, outcomeOpen},
		"corrupt in the zone out": {func(r *rig) { r.peer.Write(r.now, []byte("feed feed-1 bench u 9\n")) }, true, outcomeCorrupt},
	} {
		r := newRig(bench, "feed")
		r.answer(message)
		if c.out {
			r.c.zones[tunnel] = &outage{from: r.now}
		}
		c.happen(r)
		assert.Equal(t, outcomeNames[c.want], outcomeNames[r.f.outcome], name)
	}
}

// finish plays the other end of a close.
func (r *rig) finish() {
	r.pump()
	r.peer.Close(r.now)
	r.pump()
}

// TestCallerZoneReturns guards against breaks that are excused because the
// flow's zone was out of service before the flow began.
func TestCallerZoneReturns(t *testing.T) {
	r := newRig(bench, "feed")
	r.c.zones[tunnel] = &outage{from: r.now.Add(-2 * time.Second), to: r.now.Add(-time.Second)}
	r.answer([]byte("feed feed-1 bench u 1\n"))
	r.peer.Reset()
	assert.Equal(t, outcomeNames[outcomeReset], outcomeNames[r.f.outcome])
}

// TestCallerUnknownFlow guards against half-open connections that a late SYN
// leaves at an upstream, and against RSTs that answer RSTs without end.
func TestCallerUnknownFlow(t *testing.T) {
	r := newRig(bench, "ticket")
	r.sent = nil
	s := bvwire.Segment{Source: bench.Address, Destination: netip.MustParseAddrPort("10.9.9.9:9"), SYN: true, ACK: true, Acknowledgment: 5}
	r.c.packet(tunnel, 101, s)
	r.c.packet(tunnel, 101, bvwire.Segment{Source: bench.Address, Destination: s.Destination, RST: true})
	assert.Equal(t, []bvwire.Segment{bvwire.ResetFor(s)}, r.sent)
}

// TestCallerRefusals guards against refusals that are not recognized.
func TestCallerRefusals(t *testing.T) {
	r := newRig(bench, "ticket")
	r.f.handle(r.now, tunnel, 0, bvwire.ResetFor(r.sent[0]))
	assert.Equal(t, outcomeNames[outcomeRefused], outcomeNames[r.f.outcome], "TCP")
	udp := bench
	udp.Protocol = "udp"
	r = newRig(udp, "ticket")
	r.f.handle(r.now, tunnel, 0, bvwire.Segment{Unreachable: true, UDP: true})
	assert.Equal(t, outcomeNames[outcomeRefused], outcomeNames[r.f.outcome], "UDP")
}

// TestCallerRetransmitsDatagrams guards against a caller that sends a UDP
// request once only, so that it could not run twice, or without end.
func TestCallerRetransmitsDatagrams(t *testing.T) {
	udp := bench
	udp.Protocol, udp.RetransmitAfter = "udp", 10*time.Millisecond
	r := newRig(udp, "ticket")
	for _, at := range []time.Duration{9, 10, 29, 30, 69, 70} {
		r.f.tick(r.now.Add(at * time.Millisecond))
	}
	require.Len(t, r.sent, 4, "after 0, 10, 30 and 70 ms")
	assert.Equal(t, r.sent[0], r.sent[3])
	r.f.tick(r.now.Add(udpGiveUp + time.Second))
	assert.Equal(t, outcomeNames[outcomeTimedOut], outcomeNames[r.f.outcome])
	assert.Len(t, r.sent, 4)
}

// TestVerdict guards against a demo that passes although a promise is broken.
func TestVerdict(t *testing.T) {
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
		"plain":                      {"", func(*Report) {}, 0},
		"one request missing":        {"", func(r *Report) { r.Complete-- }, 1},
		"few requests":               {"", func(r *Report) { r.Requests, r.Complete = 299, 299 }, 1},
		"few feeds":                  {"", func(r *Report) { r.Feeds, r.FeedsComplete = 19, 19 }, 1},
		"short":                      {"", func(r *Report) { r.ServedSeconds = 14 }, 1},
		"wrong service":              {"kill", func(r *Report) { r.WrongService = 1 }, 1},
		"false refusal":              {"kill", func(r *Report) { r.FalseRefusals = 1 }, 1},
		"ran twice":                  {"kill", func(r *Report) { r.RanTwice = 1 }, 1},
		"broken feed":                {"kill", func(r *Report) { r.BrokenFeeds = 1 }, 1},
		"counts missing":             {"", func(r *Report) { r.MissingCounts = []string{"x"} }, 1},
		"given up":                   {"kill", func(r *Report) { r.Complete--; r.Abandoned = 1 }, 1},
		"given up in zone":           {"zone", func(r *Report) { r.Complete--; r.Abandoned = 1; r.ZoneQuietMillis = &millis }, 0},
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

// TestCallerArrivals guards against numbers of requests that depend on when
// the process gets to run.
func TestCallerArrivals(t *testing.T) {
	count := func(step time.Duration) int {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		s := bench
		s.Feeds, s.TicketsPerSecond, s.SummariesPerSecond = 5, 10, 3
		c := New(Options{Seed: 1, FeedRamp: time.Second}, Traffic{Services: []Service{s}}, clock, zap.NewNop())
		c.send = func(bvwire.Segment) {}
		c.start()
		for end := clock.Now().Add(20 * time.Second); clock.Now().Before(end.Add(step)); clock.Advance(step) {
			c.arrive(clock.Now(), end)
		}
		return len(c.all)
	}
	assert.Equal(t, count(time.Millisecond), count(7*time.Second))
	assert.Greater(t, count(time.Millisecond), 200)
}

// TestAudit guards against requests run twice, or run though refused, that
// are not counted because an upstream has stopped or was read twice.
func TestAudit(t *testing.T) {
	live := bvstandupstream.Counts{Name: "u1", StartedAt: time.Unix(1, 0), Ran: map[string]int{"a": 1, "b": 1, "ticket-1": 1}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.NoError(t, json.NewEncoder(w).Encode(live))
	}))
	defer server.Close()
	health := netip.MustParseAddrPort(server.Listener.Addr().String())
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	live.Health = health
	r := newRig(bench, "ticket")
	r.f.outcome = outcomeRefused
	r.c.traffic.Upstreams = []netip.AddrPort{health, gone}
	r.c.options.CountsDir = t.TempDir()
	for name, n := range map[string]bvstandupstream.Counts{
		"u1": live, // Stopped after it was read.
		"u2": {Name: "u2", Ran: map[string]int{"a": 1}},
		"u3": {Name: "u1", StartedAt: time.Unix(0, 0), Ran: map[string]int{"c": 2}},
	} {
		b, err := json.Marshal(n)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(r.c.options.CountsDir, name+".json"), b, 0o600))
	}
	var got Report
	got.Opened = map[string]int{}
	r.c.audit(&got)
	assert.Equal(t, 2, got.RanTwice, "a on two upstreams, c twice on one")
	assert.Equal(t, 1, got.FalseRefusals)
	assert.Equal(t, []string{gone.String()}, got.MissingCounts)
}
