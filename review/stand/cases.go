package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the small sites.
const (
	configApply = 3 * time.Second
	grace       = 6 * time.Second
	coldFor     = 2 * time.Second
	coldRate    = 0 // cold_rate_s.
	coldExcess  = 1.5
	coldSlack   = 5
)

// The greatest amounts of the small sites' disruptions and planned work.
const (
	bigConfig     = 350                    // big_config, count.
	stormGap      = 330 * time.Millisecond // config_storm, gap_s for a storm of stormFor.
	stormFor      = 4 * time.Second        // config_storm, for_s.
	quickGap      = 200 * time.Millisecond // config_storm, a gap_s between the 0.06 and 0.4 of the site file.
	turnedAwayFor = 9 * time.Second        // platform_down nodes, for_s; for a share of 0.35.
)

const (
	portFeed    = 8443 // The route of the usual requests.
	portDropped = 8080 // A route that the operator drops.
	firstIdle   = 10000
)

// setUp starts the store, servers and balancers of a case, and waits until all
// machines are in touch.
func setUp(ctx context.Context, w *world, seeds []int, servers int, work time.Duration, onOpen func(*server, packet, *balancer, time.Time)) error {
	w.operator.change("the first configuration", func(c *config) {
		c.Routes = append(c.Routes, w.operator.newRoute(portFeed, "idempotent", "desk"), w.operator.newRoute(portDropped, "non_idempotent", "desk"))
		for i := range 8 {
			c.Routes = append(c.Routes, w.operator.newRoute(firstIdle+i, "idempotent", "desk"))
		}
	})
	for range servers {
		if _, err := w.newServer("desk", 0, work, onOpen); err != nil {
			return err
		}
	}
	if err := w.start(seeds); err != nil {
		return err
	}
	if !w.awaitReady(10 * time.Second) {
		return fmt.Errorf("the balancers are not ready")
	}
	w.rec.line("all balancers are ready")
	sleep(ctx, contact)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// load sends requests at a rate, each on a flow of its own, until stop is closed.
func (w *world) load(port uint16, perSecond int, name string, stop <-chan struct{}) (wait func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[outcome]int{}
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				f := w.newFlow(port)
				o := f.open()
				if o == served {
					o = f.request(fmt.Sprintf("%s-%d", name, n), 2*time.Second)
				}
				if o != served || name != "feed" {
					w.rec.line("request %s-%d on port %d through %s: %s", name, n, port, f.openedBy.name(), o)
				}
				f.finish()
				mu.Lock()
				ends[o]++
				mu.Unlock()
			}()
		}
	}()
	return func() {
		wg.Wait()
		w.rec.line("requests %s: %v", name, ends)
	}
}

// caseBehind turns the seeds away from the store while the operator changes a
// large configuration many times. When the store has been stable for contact_ms, the
// operator drops a route.
func caseBehind(ctx context.Context, root, record string) int {
	const balancers = 8
	w, err := newWorld(root, record, balancers, "desk", "vault")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	var droppedAt atomic.Int64 // Nanoseconds since the start; 0 while the route is there.
	onOpen := func(s *server, p packet, via *balancer, at time.Time) {
		dropped := droppedAt.Load()
		if p.dst.Port() != portDropped || dropped == 0 || via == nil {
			return
		}
		sentAt, ok := w.openingSentAt(p.src.Port())
		if !ok {
			return
		}
		late := sentAt.Sub(w.rec.start) - time.Duration(dropped)
		if late <= configApply || !w.inTouch(via, at) {
			return
		}
		w.rec.breaks("CONFIG: server %s took an opening packet on dropped route port %d, sent %.1f s after the acknowledgement, through %s, which is in touch",
			s.name(), portDropped, late.Seconds(), via.name())
	}
	if err := setUp(ctx, w, []int{0, 1, 2}, 4, 20*time.Millisecond, onOpen); err != nil {
		return w.result(err.Error(), false)
	}
	stop := make(chan struct{})
	wait := w.load(portFeed, 40, "feed", stop)
	for n := range 5 {
		w.operator.change("big_config", func(c *config) {
			for i := range bigConfig {
				c.Routes = append(c.Routes, w.operator.newRoute(firstIdle+100+n*bigConfig+i, "idempotent", "desk"))
			}
		})
		sleep(ctx, time.Second)
	}
	outage := make(chan struct{})
	go func() {
		defer close(outage)
		if !w.trouble {
			sleep(ctx, turnedAwayFor)
			return
		}
		w.rec.line("store: turns balancer-1, balancer-2 and balancer-3 away with 503")
		for i := range 3 {
			w.store.turnedAway[i].Store(true)
		}
		for end := time.Now().Add(turnedAwayFor); time.Now().Before(end); sleep(ctx, 50*time.Millisecond) {
			for i := range 3 {
				w.balancers[i].disrupt()
			}
		}
		for i := range 3 {
			w.store.turnedAway[i].Store(false)
			w.balancers[i].disrupt()
		}
		w.rec.line("store: serves all machines again")
	}()
	sleep(ctx, turnedAwayFor-stormFor-400*time.Millisecond)
	for end := time.Now().Add(stormFor); time.Now().Before(end); sleep(ctx, stormGap) {
		w.operator.change("config_storm, time-outs", func(c *config) {
			for i := range c.Routes {
				c.Routes[i].Timeout = 2000 + c.Version%500
			}
		})
	}
	<-outage
	// The store counts as stable, and all machines as in touch, before the next change.
	sleep(ctx, contact+200*time.Millisecond)
	_, at := w.operator.change("drops the route of port 8080", func(c *config) {
		c.Routes = slices.DeleteFunc(c.Routes, func(r route) bool { return r.Prefix == fmt.Sprintf("/%d/", portDropped) })
	})
	droppedAt.Store(int64(at.Sub(w.rec.start)))
	sleep(ctx, configApply)
	waitDropped := w.load(portDropped, 20, "dropped", stop)
	sleep(ctx, 10*time.Second)
	close(stop)
	waitDropped()
	wait()
	return w.result("CONFIG: no request is run with a dropped route 3 s after the acknowledgement, by machines in touch", true)
}

// caseLag stops and starts the balancers in turn while the operator adds routes.
// Clients open flows on the new routes.
func caseLag(ctx context.Context, root, record string) int {
	const balancers = 8
	w, err := newWorld(root, record, balancers, "desk", "vault")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if err := setUp(ctx, w, []int{0, 1, 2}, 4, 5*time.Millisecond, nil); err != nil {
		return w.result(err.Error(), false)
	}
	stop, rolled := make(chan struct{}), make(chan struct{})
	wait := w.load(portFeed, 40, "feed", stop)
	go func() {
		defer close(rolled)
		for _, b := range slices.Concat(w.balancers, w.balancers) {
			if ctx.Err() != nil {
				return
			}
			if !w.trouble {
				sleep(ctx, 3500*time.Millisecond)
				continue
			}
			if err := b.roll(grace); err != nil {
				w.rec.line("cannot start %s: %v", b.name(), err)
			}
			sleep(ctx, 2*time.Second)
		}
	}()
	var wg sync.WaitGroup
	var flows, resets atomic.Int64
	port := firstIdle + 1000
	for running := true; running && ctx.Err() == nil; {
		for end := time.Now().Add(stormFor); time.Now().Before(end); sleep(ctx, quickGap) {
			port++
			p := uint16(port)
			version, at := w.operator.change(fmt.Sprintf("adds a route, port %d", p), func(c *config) {
				c.Routes = append(c.Routes, w.operator.newRoute(int(p), "non_idempotent", "desk"))
			})
			for n := range 24 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					sleep(ctx, time.Duration(n)*10*time.Millisecond)
					w.longFlow(p, version, at, fmt.Sprintf("long-%d-%d", p, n), &flows, &resets)
				}()
			}
			select {
			case <-rolled:
				running = false
			default:
			}
		}
	}
	wg.Wait()
	close(stop)
	wait()
	w.rec.line("%d flows were opened on new routes, %d were reset by the system while their server had them open", flows.Load(), resets.Load())
	fmt.Printf("%d flows on new routes, %d reset\n", flows.Load(), resets.Load())
	return w.result("FLOW: no open flow is reset while its server lives, under planned work", flows.Load() > 0)
}

// longFlow opens a flow on a route that was just added, with a request each 70 ms
// for 1 s.
func (w *world) longFlow(port uint16, version int, ackAt time.Time, name string, flows, resets *atomic.Int64) {
	f := w.newFlow(port)
	for try := range 3 { // The client's retries: 2.
		o := f.open()
		w.rec.line("flow %s (port %d) on the route of version %d, %d ms after its acknowledgement, through %s: %s", name, f.src.Port(), version, time.Since(ackAt).Milliseconds(), f.openedBy.name(), o)
		if o == served {
			break
		}
		f.finish()
		if try == 2 {
			return
		}
		time.Sleep(100 * time.Millisecond)
		f = w.newFlow(port)
	}
	defer f.finish()
	flows.Add(1)
	for n := range 13 {
		o := f.request(fmt.Sprintf("%s-%d", name, n), 2*time.Second)
		if o == systemReset {
			var s *server
			w.mu.Lock()
			for _, x := range w.servers {
				if x.has(f.src) {
					s = x
				}
			}
			w.mu.Unlock()
			if s == nil || f.resetBy == nil {
				w.rec.line("flow %s: reset, but no server has it open", name)
				return
			}
			resets.Add(1)
			w.rec.breaks("FLOW: flow %s (port %d, route of version %d) opened through %s %d ms after the acknowledgement, and was reset by %s %d ms after it, while server %s has it open",
				name, f.src.Port(), version, f.openedBy.name(), f.openedAt.Sub(ackAt).Milliseconds(), f.resetBy.name(), f.resetAt.Sub(ackAt).Milliseconds(), s.name())
			return
		}
		if o != served {
			w.rec.line("flow %s, request %d: %s", name, n, o)
			return
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// coldWindow checks the bound on the requests that a cold server gets in one
// second.
type coldWindow struct {
	w     *world
	mu    sync.Mutex
	taken map[uint64][]taken
}

type taken struct {
	sent, arrived time.Time
	via           *balancer
}

func (c *coldWindow) onOpen(s *server, p packet, via *balancer, at time.Time) {
	if s.coldFor == 0 || at.Sub(s.born) > s.coldFor || via == nil {
		return
	}
	sentAt, ok := c.w.openingSentAt(p.src.Port())
	if !ok {
		return
	}
	c.w.rec.line("cold server %s takes the opening packet of port %d through %s", s.name(), p.src.Port(), via.name())
	c.mu.Lock()
	defer c.mu.Unlock()
	ts := append(c.taken[s.id], taken{sentAt, at, via})
	c.taken[s.id] = ts
	limit := coldRate*coldExcess + coldSlack
	n := 0
	from := ""
	for _, t := range ts {
		if at.Sub(t.sent) < time.Second {
			n++
			from += " " + t.via.name()
		}
	}
	if float64(n) > limit {
		c.w.rec.breaks("FAILBACK: cold server %s got %d requests that were sent and arrived within one second, more than %.0f, through%s", s.name(), n, limit, from)
	}
}

// caseSeeds replaces the seeds in the settings of all machines while servers are
// replaced. Three machines get SIGHUP; the others see the change by themselves.
func caseSeeds(ctx context.Context, root, record string) int {
	const balancers = 10
	w, err := newWorld(root, record, balancers, "desk", "vault")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	c := &coldWindow{w: w, taken: map[uint64][]taken{}}
	seeds := []int{0, 1, 2}
	if err := setUp(ctx, w, seeds, 4, 20*time.Millisecond, c.onOpen); err != nil {
		return w.result(err.Error(), false)
	}
	stop := make(chan struct{})
	wait := w.load(portFeed, 100, "feed", stop)
	for round := range 4 {
		if w.trouble {
			seeds = []int{(3*round + 3) % 9, (3*round + 4) % 9, (3*round + 5) % 9}
			w.rec.line("platform: the seeds in the settings of all machines are now %v; these three get SIGHUP", seeds)
			for _, b := range w.balancers {
				w.writeSettings(b, seeds)
			}
			for _, i := range seeds {
				w.balancers[i].signal(syscall.SIGHUP)
			}
		}
		w.release(ctx, 2, c.onOpen)
		sleep(ctx, 7*time.Second)
	}
	close(stop)
	wait()
	return w.result("FAILBACK: a cold server gets at most 5 requests in one second", true)
}

// release replaces n servers one after the other, each second: the new one starts
// first, the old one drains.
func (w *world) release(ctx context.Context, n int, onOpen func(*server, packet, *balancer, time.Time)) {
	var old []*server
	w.mu.Lock()
	for _, s := range w.servers {
		if s.state == "ready" {
			old = append(old, s)
		}
	}
	w.mu.Unlock()
	slices.SortFunc(old, func(a, b *server) int { return a.born.Compare(b.born) })
	for _, s := range old[:n] {
		if _, err := w.newServer("desk", coldFor, 20*time.Millisecond, onOpen); err != nil {
			w.rec.line("cannot start a server: %v", err)
			return
		}
		s.drain()
		go func() {
			sleep(ctx, 3500*time.Millisecond)
			s.leave()
			w.mu.Lock()
			delete(w.servers, s.id)
			w.mu.Unlock()
		}()
		sleep(ctx, time.Second)
	}
}
