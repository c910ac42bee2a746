// Command stand runs the cases of the review: it starts balancers with the
// command of the deploy file, and stands in for the platform around them: the
// store, the operators, the routers, servers and clients.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that are the same on all machines.
const (
	portData    = 8172
	portReady   = 8167
	portControl = 8166
	portFirst   = 7720
	portStore   = 8169
	portServer  = 8443
)

// Host numbers in the case's own part of the loopback range.
const (
	hostBalancer = 10
	hostStore    = 60
	hostServer   = 120
	hostClient   = 230
	hostPlatform = 240
)

const (
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
	contact       = 4 * time.Second // contact_ms of the small sites.
)

// recorder writes record.txt and counts broken rules.
type recorder struct {
	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	start  time.Time
	broken int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (r *recorder) breaks(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.line("RULE BROKEN: "+format, args...)
	if r.broken <= 5 {
		fmt.Printf("rule broken: "+format+"\n", args...)
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// balancer is one machine of the system with its process.
type balancer struct {
	w        *world
	index    int
	ip       netip.Addr
	settings string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	started  time.Time
	ended    bool

	inRotation bool // Guarded by world.mu.
	misses     int
	disrupted  time.Time // When a disruption of this machine was last in force; guarded by world.mu.
}

func (b *balancer) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(b.ip, port) }

func (b *balancer) name() string { return fmt.Sprintf("balancer-%d", b.index+1) }

// world is one small deployment in one zone.
type world struct {
	root, dir, net string
	rec            *recorder
	store          *store
	operator       *operator
	balancers      []*balancer
	command        []string
	template       string
	clientConn     *net.UDPConn
	clientAddr     netip.Addr
	done           chan struct{}
	trouble        bool

	mu      sync.Mutex
	servers map[uint64]*server
	flows   map[uint16]*flow
	port    uint16
	hosts   int
}

const zone = "zone-a"

func (w *world) ip(host int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", w.net, host))
}

// freeNet returns a part of the loopback range on which the ports are free.
func freeNet() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for _, h := range []int{hostBalancer, hostStore, hostClient} {
			for _, p := range []int{portData, portReady, portControl, portFirst, portStore} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, h, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", errors.New("no free part of the loopback range")
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// newWorld starts the store and prepares balancers; seeds lists the balancers
// that are seeds.
func newWorld(root, recordPath string, balancers int, services ...string) (*world, error) {
	rec, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, rec: rec, done: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0",
		servers: map[uint64]*server{}, flows: map[uint16]*flow{}, port: 20000,
	}
	if w.net, err = freeNet(); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	w.command = strings.Fields(string(m[1]))
	t, err := os.ReadFile(filepath.Join(root, "deploy/node.yaml"))
	if err != nil {
		return nil, err
	}
	w.template = string(t)
	w.store = newStore(rec, balancers)
	w.operator = newOperator(w.store, w.ip(hostPlatform).String(), services...)
	w.clientAddr = w.ip(hostClient)
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.clientAddr, portData)))
	if err != nil {
		return nil, err
	}
	_ = c.SetReadBuffer(4 << 20)
	w.clientConn = c
	go w.receive()
	for i := range balancers {
		l, err := net.Listen("tcp", netip.AddrPortFrom(w.ip(hostStore+i), portStore).String())
		if err != nil {
			return nil, err
		}
		go w.store.serve(i, l)
		w.balancers = append(w.balancers, &balancer{w: w, index: i, ip: w.ip(hostBalancer + i), settings: filepath.Join(w.dir, fmt.Sprintf("node-%d.yaml", i+1))})
	}
	rec.line("deployment: %d balancers at %s.%d and up, trouble %v", balancers, w.net, hostBalancer, w.trouble)
	return w, nil
}

var section = regexp.MustCompile(`\{\{[#/]bounds\.[a-z_]+\}\}`)

// writeSettings fills in the template of the deploy file for a balancer.
func (w *world) writeSettings(b *balancer, seeds []int) {
	var addrs []string
	for _, i := range seeds {
		addrs = append(addrs, `"`+w.balancers[i].at(portControl).String()+`"`)
	}
	t := section.ReplaceAllString(w.template, "")
	for old, value := range map[string]string{
		`{{#seeds}}"{{.}}"{{,}} {{/seeds}}`: strings.Join(addrs, ", "),
		"{{node}}":                          b.name(), "{{zone}}": zone, "{{ip}}": b.ip.String(),
		"{{listen.control}}": b.at(portControl).String(), "{{listen.data_addr}}": b.at(portData).String(),
		"{{listen.ready}}": b.at(portReady).String(), "{{port_range.0}}": fmt.Sprint(portFirst),
		"{{platform.addr}}":      netip.AddrPortFrom(w.ip(hostStore+b.index), portStore).String(),
		"{{bounds.cold_excess}}": "1.5", "{{bounds.cold_slack}}": "5",
		"{{bounds.config_apply_ms}}": "3000", "{{bounds.drain_ms}}": "3000",
	} {
		t = strings.ReplaceAll(t, old, value)
	}
	if strings.Contains(t, "{{") {
		panic("placeholder is not known:\n" + t)
	}
	tmp := b.settings + ".new"
	if err := os.WriteFile(tmp, []byte(t), 0o600); err != nil {
		panic(err)
	}
	_ = os.Rename(tmp, b.settings)
}

// launch starts the process of a balancer, and again whenever it has ended.
func (b *balancer) launch() error {
	c := exec.Command(filepath.Join(b.w.root, b.w.command[0]), b.w.command[1:]...)
	c.Dir = b.w.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BALSAMVANE_BOOT=" + b.settings}
	log, err := os.OpenFile(filepath.Join(b.w.dir, b.name()+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	started.Store(c.Process, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process, b.exited, b.started, b.ended = c, make(chan struct{}), time.Now(), false
	exited := b.exited
	go func() {
		_ = c.Wait()
		started.Delete(c.Process)
		_ = log.Close()
		b.mu.Lock()
		b.ended = true
		b.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (b *balancer) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process != nil && !b.ended {
		_ = b.process.Process.Signal(s)
	}
}

// disrupt records a disruption of the machine that is in force now.
func (b *balancer) disrupt() {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	b.disrupted = time.Now()
}

// roll stops a balancer as the platform does, and starts it again.
func (b *balancer) roll(grace time.Duration) error {
	b.disrupt()
	b.w.rec.line("platform: SIGTERM to %s", b.name())
	b.signal(syscall.SIGTERM)
	b.mu.Lock()
	exited := b.exited
	b.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		b.signal(syscall.SIGKILL)
		<-exited
	}
	b.w.rec.line("platform: %s has ended and starts again", b.name())
	b.disrupt()
	return b.launch()
}

// start starts all balancers and the readiness checks.
func (w *world) start(seeds []int) error {
	for _, b := range w.balancers {
		w.writeSettings(b, seeds)
		if err := b.launch(); err != nil {
			return err
		}
		b.disrupt()
	}
	for _, b := range w.balancers {
		go b.probe()
	}
	return nil
}

// probe makes the platform's readiness checks of one balancer.
func (b *balancer) probe() {
	c := &http.Client{Timeout: probeInterval - 20*time.Millisecond}
	time.Sleep(time.Duration(b.index) * 60 * time.Millisecond)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		r, err := c.Get("http://" + b.at(portReady).String() + "/v1/ready")
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		b.w.mu.Lock()
		before := b.inRotation
		if ok {
			b.misses, b.inRotation = 0, true
		} else if b.misses++; b.misses >= probeMisses {
			b.inRotation = false
		}
		after := b.inRotation
		b.w.mu.Unlock()
		if before != after {
			b.w.rec.line("platform: %s is in rotation: %v", b.name(), after)
		}
		select {
		case <-t.C:
		case <-b.w.done:
			return
		}
	}
}

// awaitReady waits until all balancers are in rotation.
func (w *world) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		n := 0
		w.mu.Lock()
		for _, b := range w.balancers {
			if b.inRotation {
				n++
			}
		}
		w.mu.Unlock()
		if n == len(w.balancers) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// router returns the balancer to which the platform's routers forward a packet: by
// a hash of the addresses and ports over the balancers in rotation, such that only
// the flows of a balancer that leaves move.
func (w *world) router(src, dst netip.AddrPort) *balancer {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := 0
	for _, b := range w.balancers {
		if b.inRotation {
			in++
		}
	}
	var best *balancer
	var most uint64
	for _, b := range w.balancers {
		if !b.inRotation && 2*in >= len(w.balancers) {
			continue
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s %d", src, dst, b.index)
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		if best == nil || x > most {
			best, most = b, x
		}
	}
	return best
}

// forward sends a client's packet through the router.
func (w *world) forward(p packet) *balancer {
	b := w.router(p.src, p.dst)
	_, _ = w.clientConn.WriteToUDPAddrPort(p.encode(), b.at(portData))
	return b
}

// balancerAt returns the balancer that sent a datagram.
func (w *world) balancerAt(a netip.AddrPort) *balancer {
	for _, b := range w.balancers {
		if b.ip == a.Addr().Unmap() {
			return b
		}
	}
	return nil
}

// inTouch reports whether no disruption of the machine was in force for the whole
// contact time.
func (w *world) inTouch(b *balancer, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return at.Sub(b.disrupted) >= contact
}

// started holds the processes that were started and have not ended.
var started sync.Map

// killAll kills the processes that this one started.
func killAll() {
	started.Range(func(p, _ any) bool {
		_ = p.(*os.Process).Kill()
		return true
	})
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	close(w.done)
	for _, b := range w.balancers {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
	}
	for _, b := range w.balancers {
		b.mu.Lock()
		exited := b.exited
		b.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	w.rec.line("all processes have ended")
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.rec.close()
}

// result ends a case. It returns the exit code.
func (w *world) result(what string, ran bool) int {
	w.stop()
	switch {
	case !ran:
		fmt.Println("the case could not run:", what)
		return 2
	case w.rec.broken > 0:
		fmt.Printf("broken %d times: %s\n", w.rec.broken, what)
		return 1
	}
	fmt.Println("held:", what)
	return 0
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(2)
	}
	cases := map[string]func(ctx context.Context, root, record string) int{
		"behind": caseBehind, "lag": caseLag, "seeds": caseSeeds, "memory": caseMemory,
	}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 112*time.Second)
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		killAll()
		os.Exit(2)
	}()
	os.Exit(f(ctx, os.Args[2], os.Args[3]))
}
