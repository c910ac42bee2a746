// Package bvprobe polls the health and load of upstreams over HTTP.
//
// Each upstream is probed every two seconds with jitter. The time and the answer
// size of a probe are limited, and so is the number of concurrent probes. An
// upstream that never answers therefore does not delay the probes of others.
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
	// maxBody limits the size of an answer; a report has about 120 bytes.
	maxBody = 4 << 10
	// maxCount limits the reported counts, so that sums over upstreams cannot
	// overflow.
	maxCount = 1 << 30
	// catchUpParts is the number of parts of a probe's timeout, the last of which is
	// for reading an answer that waits.
	catchUpParts = 10
)

// ErrMalformedReport is returned for an answer that is not a valid report.
var ErrMalformedReport = errors.New("bvprobe: malformed health report")

// Options configure a prober. Zero values select the defaults in the comments.
type Options struct {
	Interval    time.Duration // Time between two probes of an upstream; 2 s.
	Timeout     time.Duration // Time limit of a probe; 1 s.
	Concurrency int           // Maximum number of concurrent probes; 16.
	Seed        uint64        // Seed of the random jitter.
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

// New returns a prober that sends the results to sink. Calls of sink may be
// concurrent.
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

// Run probes until ctx is done.
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

// Set replaces the set of upstreams. Upstreams without a health endpoint are not
// probed. Upstreams of both the old and the new set keep their probe schedule.
func (p *Prober) Set(l []bvconfig.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = l
	p.update()
}

// update starts the probe loops of added upstreams and stops those of removed
// ones. The caller holds mu.
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
		p.wait.Go(func() { p.probeLoop(ctx, id, u) })
	}
	for id, cancel := range p.running {
		if !want[id] {
			cancel()
			delete(p.running, id)
		}
	}
}

// probeLoop probes one upstream. The first probe runs after a random fraction of
// the interval, so that balancers that start together spread their probes.
func (p *Prober) probeLoop(ctx context.Context, id bvconfig.UpstreamID, u bvconfig.Upstream) {
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
	// The last part of the timeout begins only when this process runs, so that an
	// answer that waited while the process stood still is read first.
	catchUp := p.options.Timeout / catchUpParts
	t := p.clock.AfterFunc(p.options.Timeout-catchUp, func() { p.clock.AfterFunc(catchUp, cancel) })
	defer t.Stop()
	e, err := p.fetchReport(ctx, "http://"+u.Health.String()+"/health")
	if err != nil {
		return bvnode.ProbeFailed{Upstream: id}
	}
	e.Upstream = id
	return e
}

func (p *Prober) fetchReport(ctx context.Context, url string) (bvnode.ProbeSucceeded, error) {
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

// report is the JSON form of an upstream's health report.
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
