// Package bvprobe asks upstreams for their health and load over HTTP.
//
// Each upstream is asked every two seconds with jitter. Every probe is bounded
// in time and size, and so is the number of probes at once; an upstream that
// never answers therefore delays no other.
//
// # Usage
//
//	p := bvprobe.New(clock, func(e bvnode.Event) { handle(e) }, bvprobe.Options{})
//	go p.Run(ctx)
//	p.Set(upstreams)
package bvprobe

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	// maxBody bounds an answer; a report has about 120 bytes.
	maxBody = 4 << 10
	// maxCount bounds the reported numbers, so that sums over upstreams
	// cannot overflow.
	maxCount = 1 << 30
)

// ErrMalformedReport is returned for an answer that is no valid report.
var ErrMalformedReport = errors.New("bvprobe: malformed health report")

// Options bound the prober. Zero values are replaced by the defaults given.
type Options struct {
	Interval    time.Duration // Between two probes of an upstream; 2 s.
	Timeout     time.Duration // One probe; 1 s.
	Concurrency int           // Probes at once; 16.
	Seed        uint64        // Feeds the jitter.
}

// Prober probes a set of upstreams. It is safe for concurrent use.
type Prober struct {
	clock   clockwork.Clock
	sink    func(bvnode.Event)
	options Options
	http    *http.Client
	slots   chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	context context.Context // Set while Run runs.
	running map[bvconfig.UpstreamID]context.CancelFunc
	wanted  []bvconfig.Upstream
	wait    conc.WaitGroup
}

// New returns a prober that reports to sink, from several goroutines.
func New(clock clockwork.Clock, sink func(bvnode.Event), o Options) *Prober {
	if o.Interval <= 0 {
		o.Interval = 2 * time.Second
	}
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.Concurrency <= 0 {
		o.Concurrency = 16
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * o.Interval,
	}
	return &Prober{
		clock: clock, sink: sink, options: o,
		http:    &http.Client{Transport: t, CheckRedirect: noRedirect},
		slots:   make(chan struct{}, o.Concurrency),
		random:  rand.New(rand.NewPCG(o.Seed, 2)),
		running: map[bvconfig.UpstreamID]context.CancelFunc{},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.mu.Lock()
	p.context = ctx
	p.update()
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.context, p.wanted = nil, nil
	p.update()
	p.mu.Unlock()
	p.wait.Wait()
}

// Set replaces the set of upstreams. Upstreams without a health endpoint are
// not probed; those that stay keep their times.
func (p *Prober) Set(l []bvconfig.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = l
	p.update()
}

// update starts and stops the loops of single upstreams. The caller holds the
// lock.
func (p *Prober) update() {
	want := make(map[bvconfig.UpstreamID]bool, len(p.wanted))
	for _, u := range p.wanted {
		id := u.ID()
		if !u.Health.IsValid() || p.context == nil {
			continue
		}
		want[id] = true
		if p.running[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.context)
		p.running[id] = cancel
		p.wait.Go(func() { p.loop(ctx, id, u) })
	}
	for id, cancel := range p.running {
		if !want[id] {
			cancel()
			delete(p.running, id)
		}
	}
}

// loop probes one upstream. The first probe comes after a random part of the
// interval, so that the probes of a fleet that starts at once are spread.
func (p *Prober) loop(ctx context.Context, id bvconfig.UpstreamID, u bvconfig.Upstream) {
	delay := p.jitter(0, p.options.Interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.clock.After(delay):
		}
		select {
		case <-ctx.Done():
			return
		case p.slots <- struct{}{}:
		}
		e := p.probe(ctx, id, u)
		<-p.slots
		if ctx.Err() != nil {
			return
		}
		p.sink(e)
		delay = p.jitter(p.options.Interval*9/10, p.options.Interval*11/10)
	}
}

func (p *Prober) jitter(from, to time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return from + time.Duration(p.random.Int64N(int64(to-from)+1))
}

func (p *Prober) probe(ctx context.Context, id bvconfig.UpstreamID, u bvconfig.Upstream) bvnode.Event {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := p.clock.AfterFunc(p.options.Timeout, cancel)
	defer t.Stop()
	e, err := p.report(ctx, "http://"+u.Health.String()+"/health")
	if err != nil {
		return bvnode.ProbeFailed{Upstream: id}
	}
	e.Upstream = id
	return e
}

func (p *Prober) report(ctx context.Context, url string) (bvnode.ProbeSucceeded, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return bvnode.ProbeSucceeded{}, eris.Wrap(err, "bvprobe: building request")
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return bvnode.ProbeSucceeded{}, eris.Wrap(err, "bvprobe: reading health")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return bvnode.ProbeSucceeded{}, eris.Wrap(err, "bvprobe: reading health")
	}
	if resp.StatusCode != http.StatusOK || len(b) > maxBody {
		return bvnode.ProbeSucceeded{}, ErrMalformedReport
	}
	return decodeReport(b)
}

// report is the answer of an upstream.
type report struct {
	State           string    `json:"state"`
	StartedAt       time.Time `json:"startedAt"`
	OpenConnections int       `json:"openConnections"`
	BusySlots       int       `json:"busySlots"`
}

var states = map[string]bvnode.UpstreamState{
	"warm":     bvnode.UpstreamWarm,
	"cold":     bvnode.UpstreamCold,
	"draining": bvnode.UpstreamDraining,
	"shedding": bvnode.UpstreamShedding,
}

func decodeReport(b []byte) (bvnode.ProbeSucceeded, error) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return bvnode.ProbeSucceeded{}, ErrMalformedReport
	}
	s, ok := states[r.State]
	if !ok || r.OpenConnections < 0 || r.OpenConnections > maxCount || r.BusySlots < 0 || r.BusySlots > maxCount {
		return bvnode.ProbeSucceeded{}, ErrMalformedReport
	}
	return bvnode.ProbeSucceeded{
		State: s, StartedAt: r.StartedAt, OpenConnections: r.OpenConnections, BusySlots: r.BusySlots,
	}, nil
}
