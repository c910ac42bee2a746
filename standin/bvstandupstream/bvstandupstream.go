// Package bvstandupstream stands in for an upstream VM: a kernel that
// terminates Geneve for one VNI, and a server with processing slots, a queue,
// a cold start, draining, load shedding, cancellation and deadlines. Answers
// go directly to the caller's address (direct server return).
//
// # Usage
//
//	u := bvstandupstream.New(options, clockwork.NewRealClock(), zap.NewNop())
//	err := u.Run(ctx) // drains when ctx ends, then returns
//
// HTTP on the health address: GET /health (the health report of the design
// page, section 4.2), POST /lie?state=warm (/health reports this state instead
// of the actual one; an empty state ends that), POST /cold (the upstream
// becomes cold without a restart), GET /counts.
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
	// closedRetention is how long an ended connection is kept, so that a
	// delayed segment of it is not answered as one of an unknown connection.
	closedRetention = 10 * time.Second
	// answerRetention is how long the answer to a UDP request is kept. It is
	// longer than a caller retransmits, so that a delayed retransmission does
	// not run the request again.
	answerRetention = time.Minute
	// drainMinIdle is how long a draining upstream keeps running after the
	// draining began and after its last new flow. Balancers are notified of the
	// draining one after the other, and late ones still send new flows.
	drainMinIdle = 2 * time.Second
)

// Options configure an [Upstream].
type Options struct {
	Name    string
	Service string
	VNI     uint32
	Tunnel  netip.AddrPort // Geneve.
	Health  netip.AddrPort // HTTP.
	Caller  netip.AddrPort // Receives the answers.
	Slots   int            // Requests that are processed at the same time.
	Queue   int            // Requests that may wait for a slot; more are refused.
	// The upstream is cold for ColdFor after its start. More than ColdRate
	// new flows a second then overload it, and it is unresponsive for
	// OverloadOutage. A ColdRate of 0 sets no limit.
	ColdFor        time.Duration
	ColdRate       int
	OverloadOutage time.Duration
	// HealthLag delays the state that /health reports.
	HealthLag  time.Duration
	DrainLimit time.Duration // Maximum duration of draining.
	CountsFile string        // Written at exit; no file if empty.
}

// Counts is the content of /counts and of the counts file.
type Counts struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// StartedAt distinguishes successive processes of one VM.
	StartedAt time.Time      `json:"startedAt"`
	Tunnel    netip.AddrPort `json:"tunnel"`
	Health    netip.AddrPort `json:"health"`
	// Ran is the number of times that the request of each ID was run.
	Ran map[string]int `json:"ran"`
	// Packets counts packets by VNI, Destinations by the inner destination
	// address.
	Packets      map[string]uint64 `json:"packets"`
	Destinations map[string]uint64 `json:"destinations"`
	Malformed    uint64            `json:"malformed"`
	// LastPacketMillis is the Unix time of the last Geneve packet.
	LastPacketMillis    int64 `json:"lastPacketMillis"`
	Opened              int   `json:"opened"`
	OpenedWhileDraining int   `json:"openedWhileDraining"`
	Overloads           int   `json:"overloads"`
	Shed                int   `json:"shed"`      // Requests refused because the queue was full.
	Cancelled           int   `json:"cancelled"` // Queued requests whose caller closed the connection.
	Expired             int   `json:"expired"`   // Requests refused because their deadline had passed.
	ResetsSent          int   `json:"resetsSent"`
	TimedOut            int   `json:"timedOut"` // Connections without progress after all retransmissions.
}

// Upstream is a running stand-in.
type Upstream struct {
	options Options
	clock   clockwork.Clock
	log     *zap.Logger
	socket  *net.UDPConn
	send    func(bvwire.Segment) // Sends to the caller; tests replace it.

	mu                sync.Mutex
	counts            Counts
	flows             map[flowKey]*flow
	queue             []*flow
	running           []*flow
	startedAt         time.Time
	coldSince         time.Time
	draining          bool
	lastOpened        time.Time
	recentOpenings    []time.Time // New flows of the last second, while cold.
	unresponsiveUntil time.Time   // End of an outage after an overload.
	claimedState      string      // Reported instead of the actual state, if not empty.
	reported          health      // What /health reports, renewed after HealthLag.
	reportedAt        time.Time
}

// New returns an upstream whose cold start begins now.
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
		return eris.Wrap(err, "bvstandupstream: listen on the health address")
	}
	server := &http.Server{Handler: u.handler(), ReadHeaderTimeout: time.Second}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(u.receive)
	u.tickUntilDrained(ctx)
	_ = socket.Close()
	// /counts is served until the file is written.
	err = u.writeCounts()
	_ = server.Close()
	wg.Wait()
	return err
}

func (u *Upstream) tickUntilDrained(ctx context.Context) {
	ticker := u.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var drainStart time.Time
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			drainStart = u.clock.Now()
			u.mu.Lock()
			u.draining = true
			u.mu.Unlock()
		case <-ticker.Chan():
		}
		now := u.clock.Now()
		u.mu.Lock()
		u.tick(now)
		idle := u.openFlows() == 0 && now.Sub(u.lastOpened) > drainMinIdle && now.Sub(drainStart) > drainMinIdle
		u.mu.Unlock()
		if !drainStart.IsZero() && (idle || now.Sub(drainStart) > u.options.DrainLimit) {
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
		u.handlePacket(u.clock.Now(), b[:n])
		u.mu.Unlock()
	}
}

// handlePacket processes a Geneve packet as the VM's kernel would.
func (u *Upstream) handlePacket(now time.Time, b []byte) {
	vni, s, err := bvwire.Decode(b)
	if err != nil {
		u.counts.Malformed++
		return
	}
	u.counts.LastPacketMillis = now.UnixMilli()
	u.counts.Packets[strconv.FormatUint(uint64(vni), 10)]++
	u.counts.Destinations[s.Destination.String()]++
	if vni != u.options.VNI || now.Before(u.unresponsiveUntil) {
		return
	}
	if s.UDP {
		u.handleDatagram(now, s)
		return
	}
	u.handleSegment(now, s)
}

func (u *Upstream) transmit(s bvwire.Segment) {
	b, err := bvwire.Encode(u.options.VNI, s)
	if err != nil {
		u.log.Error("encoding an answer failed", zap.Error(err))
		return
	}
	// An answer that is not sent is retransmitted later.
	_, _ = u.socket.WriteToUDPAddrPort(b, u.options.Caller)
}

// newFlowOverloads counts a new flow and reports whether it overloads a cold
// upstream.
func (u *Upstream) newFlowOverloads(now time.Time) bool {
	u.counts.Opened++
	u.lastOpened = now
	if u.draining {
		u.counts.OpenedWhileDraining++
	}
	if !u.cold(now) {
		return false
	}
	for len(u.recentOpenings) > 0 && now.Sub(u.recentOpenings[0]) >= time.Second {
		u.recentOpenings = u.recentOpenings[1:]
	}
	u.recentOpenings = append(u.recentOpenings, now)
	if u.options.ColdRate == 0 || len(u.recentOpenings) <= u.options.ColdRate {
		return false
	}
	u.counts.Overloads++
	u.recentOpenings = nil
	u.unresponsiveUntil = now.Add(u.options.OverloadOutage)
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
		return eris.Wrap(err, "bvstandupstream: encode the counts")
	}
	return eris.Wrap(os.WriteFile(u.options.CountsFile, b, 0o600), "bvstandupstream: write the counts")
}
