// Package bvstandupstream stands in for an upstream VM: a kernel that
// terminates Geneve for one VNI, and a server with slots, a queue, a cold
// start, drain, load shedding, cancellation and deadlines. Answers go
// directly to the caller's address (direct server return).
//
// # Usage
//
//	u := bvstandupstream.New(options, clockwork.NewRealClock(), zap.NewNop())
//	err := u.Run(ctx) // drains when ctx ends, then returns
//
// HTTP on the health address: GET /health (the report of the design page,
// section 4.2), POST /lie?state=warm (what /health shall claim; an empty
// state ends the lie), POST /cold (turn cold without notice), GET /counts.
package bvstandupstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	tickInterval = 10 * time.Millisecond
	feedInterval = 200 * time.Millisecond
	// closedRetention keeps an ended connection so that a late segment of it
	// is not taken for one of an unknown connection.
	closedRetention = 10 * time.Second
	// answerRetention keeps the answer of a UDP request. It is longer than a
	// caller retransmits, so that a late copy is not run again.
	answerRetention = time.Minute
	// drainQuiet is how long a draining upstream stays after its last new
	// flow, because balancers learn of the drain one after the other.
	drainQuiet = 2 * time.Second
)

// Options describe one upstream.
type Options struct {
	Name    string
	Service string
	VNI     uint32
	Tunnel  netip.AddrPort // Geneve.
	Health  netip.AddrPort // HTTP.
	Caller  netip.AddrPort // Where answers go.
	Slots   int
	Queue   int // Requests that may wait for a slot; more are refused.
	// ColdFor is the time after the start in which more than ColdRate new
	// flows a second make the upstream fall over for FallOver.
	ColdFor        time.Duration
	ColdRate       int
	OverloadOutage time.Duration
	// HealthLag delays the state that /health reports.
	HealthLag  time.Duration
	DrainLimit time.Duration // Longest drain.
	CountsFile string        // Written at exit; none if empty.
}

// Counts is the content of /counts and of the counts file.
type Counts struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// StartedAt tells two processes of one VM apart.
	StartedAt time.Time      `json:"startedAt"`
	Tunnel    netip.AddrPort `json:"tunnel"`
	Health    netip.AddrPort `json:"health"`
	// Ran is the number of times that each request ID was run.
	Ran map[string]int `json:"ran"`
	// Packets is by VNI, Destinations by destination address inside the packet.
	Packets      map[string]uint64 `json:"packets"`
	Destinations map[string]uint64 `json:"destinations"`
	Malformed    uint64            `json:"malformed"`
	// LastPacketMillis is the Unix time of the last Geneve packet.
	LastPacketMillis    int64 `json:"lastPacketMillis"`
	Opened              int   `json:"opened"`
	OpenedWhileDraining int   `json:"openedWhileDraining"`
	Overloads           int   `json:"overloads"`
	Shed                int   `json:"shed"`
	Cancelled           int   `json:"cancelled"`
	Expired             int   `json:"expired"`
	ResetsSent          int   `json:"resetsSent"`
	TimedOut            int   `json:"timedOut"`
}

// Upstream is a running stand-in.
type Upstream struct {
	options Options
	clock   clockwork.Clock
	log     *zap.Logger
	socket  *net.UDPConn
	send    func(bvwire.Segment) // Answers the caller; tests replace it.

	mu         sync.Mutex
	counts     Counts
	flows      map[flowKey]*flow
	queue      []*flow
	running    []*flow
	startedAt  time.Time
	coldSince  time.Time
	draining   bool
	lastOpened time.Time
	openings   []time.Time // Of the last second, while cold.
	deadUntil  time.Time   // Fallen over.
	lie        string
	shown      health // What /health reports, renewed after HealthLag.
	shownAt    time.Time
}

// New returns an upstream that is cold from now on.
func New(o Options, clock clockwork.Clock, log *zap.Logger) *Upstream {
	now := clock.Now()
	u := &Upstream{
		options: o, clock: clock, log: log, startedAt: now, coldSince: now,
		flows: map[flowKey]*flow{},
		counts: Counts{
			Name: o.Name, Service: o.Service, StartedAt: now, Tunnel: o.Tunnel, Health: o.Health,
			Ran: map[string]int{}, Packets: map[string]uint64{}, Destinations: map[string]uint64{},
		},
	}
	u.send = u.transmit
	return u
}

// Run serves until ctx ends and all flows have ended, or DrainLimit after ctx
// has ended.
func (u *Upstream) Run(ctx context.Context) error {
	socket, err := bvwire.Listen(u.options.Tunnel)
	if err != nil {
		return err
	}
	u.socket = socket
	listener, err := net.Listen("tcp", u.options.Health.String())
	if err != nil {
		return eris.Wrap(err, "bvstandupstream: health")
	}
	server := &http.Server{Handler: u.handler(), ReadHeaderTimeout: time.Second}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(u.receive)
	u.tickUntilDrained(ctx)
	_ = socket.Close()
	// /counts answers until the file is there.
	err = u.writeCounts()
	_ = server.Close()
	wg.Wait()
	return err
}

func (u *Upstream) tickUntilDrained(ctx context.Context) {
	ticker := u.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var since time.Time
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			since = u.clock.Now()
			u.mu.Lock()
			u.draining = true
			u.mu.Unlock()
		case <-ticker.Chan():
		}
		now := u.clock.Now()
		u.mu.Lock()
		u.tick(now)
		quiet := u.open() == 0 && now.Sub(u.lastOpened) > drainQuiet && now.Sub(since) > drainQuiet
		u.mu.Unlock()
		if !since.IsZero() && (quiet || now.Sub(since) > u.options.DrainLimit) {
			return
		}
	}
}

func (u *Upstream) receive() {
	b := make([]byte, 65536)
	for {
		n, _, err := u.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return // Closed by Run.
		}
		u.mu.Lock()
		u.packet(u.clock.Now(), b[:n])
		u.mu.Unlock()
	}
}

// packet takes one Geneve packet, as the VM's kernel would.
func (u *Upstream) packet(now time.Time, b []byte) {
	vni, s, err := bvwire.Decode(b)
	if err != nil {
		u.counts.Malformed++
		return
	}
	u.counts.LastPacketMillis = now.UnixMilli()
	u.counts.Packets[strconv.FormatUint(uint64(vni), 10)]++
	u.counts.Destinations[s.Destination.String()]++
	if vni != u.options.VNI || now.Before(u.deadUntil) {
		return
	}
	if s.UDP {
		u.datagram(now, s)
		return
	}
	u.segment(now, s)
}

func (u *Upstream) transmit(s bvwire.Segment) {
	b, err := bvwire.Encode(u.options.VNI, s)
	if err != nil {
		u.log.Error("answer not encoded", zap.Error(err))
		return
	}
	// A lost answer is retransmitted.
	_, _ = u.socket.WriteToUDPAddrPort(b, u.options.Caller)
}

// overloaded counts a new flow and reports whether the upstream is cold and
// falls over because of it.
func (u *Upstream) overloaded(now time.Time) bool {
	u.counts.Opened++
	u.lastOpened = now
	if u.draining {
		u.counts.OpenedWhileDraining++
	}
	if !u.cold(now) {
		return false
	}
	for len(u.openings) > 0 && now.Sub(u.openings[0]) >= time.Second {
		u.openings = u.openings[1:]
	}
	u.openings = append(u.openings, now)
	if u.options.ColdRate == 0 || len(u.openings) <= u.options.ColdRate {
		return false
	}
	u.counts.Overloads++
	u.openings = nil
	u.deadUntil = now.Add(u.options.OverloadOutage)
	return true
}

func (u *Upstream) cold(now time.Time) bool { return now.Sub(u.coldSince) < u.options.ColdFor }

func (u *Upstream) writeCounts() error {
	if u.options.CountsFile == "" {
		return nil
	}
	u.mu.Lock()
	b, err := json.Marshal(u.counts)
	u.mu.Unlock()
	if err != nil {
		return eris.Wrap(err, "bvstandupstream: counts")
	}
	return eris.Wrap(os.WriteFile(u.options.CountsFile, b, 0o600), "bvstandupstream: counts")
}
