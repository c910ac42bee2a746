// Command bvreview runs the cases of the second review: it starts balancers as processes
// and stands in for the platform, its store, its routers, clients and servers.
//
// # Usage
//
//	bvreview CASE --program target/balsamvane --record record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a run.
const maxDuration = 110 * time.Second

// testCase runs with a deployment and returns the breaks of the rule.
type testCase struct {
	layout layout
	run    func(d *deployment) (breaks int, err error)
}

var cases = map[string]testCase{
	"alias":     {layout: smallLayout(), run: runAlias},
	"collision": {layout: smallLayout(), run: runCollision},
	"copies":    {layout: smallLayout(), run: runCopies},
	"sighup":    {layout: smallLayout(), run: runSighup},
}

func main() {
	program := flag.String("program", "", "the balancer's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := ""
	if len(os.Args) > 1 {
		name = os.Args[1]
		_ = flag.CommandLine.Parse(os.Args[2:])
	}
	c, ok := cases[name]
	if !ok || *program == "" {
		fmt.Fprintln(os.Stderr, "usage: bvreview CASE --program FILE --record FILE")
		os.Exit(2)
	}
	os.Exit(execute(name, c, *program, *path))
}

func execute(name string, c testCase, program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	d, err := deploy(c.layout, program, r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return 2
	}
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxDuration):
		}
		d.close()
		os.Exit(2)
	}()
	r.say("case %s, disruption: %t", name, d.trouble)
	breaks, err := c.run(d)
	if err != nil {
		r.say("the case could not run: %v", err)
		return 2
	}
	if breaks > 0 {
		r.say("the rule was broken: %d", breaks)
		return 1
	}
	r.say("the rule held")
	return 0
}

// layout is the size of a deployment.
type layout struct {
	zones            []string
	balancersPerZone int
}

func smallLayout() layout { return layout{zones: []string{"zone-a", "zone-b"}, balancersPerZone: 2} }

// deployment is a running deployment without servers.
type deployment struct {
	trouble    bool
	record     *record
	dir        string
	store      *store
	storeAt    netip.AddrPort
	seeds      []netip.AddrPort
	ports      ports
	serverPort uint16
	balancers  []*balancer
	fabric     *fabric
	hosts      []*host
	route      netip.AddrPort
	mu         sync.Mutex
	servers    []*server
	closed     bool
}

const serviceName = "desk"

func deploy(l layout, program string, r *record) (*deployment, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bvreview")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0", record: r, dir: dir,
		route: netip.MustParseAddrPort("127.84.0.1:8443"),
	}
	ips := []netip.Addr{netip.MustParseAddr("127.80.0.1")}
	for z, zone := range l.zones {
		for n := range l.balancersPerZone {
			ip := netip.AddrFrom4([4]byte{127, 81, byte(z + 1), byte(n + 1)})
			ips = append(ips, ip)
			d.balancers = append(d.balancers, &balancer{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ip, dir: dir, program: program})
		}
	}
	var clients []netip.Addr
	for z := range l.zones {
		clients = append(clients, netip.AddrFrom4([4]byte{127, 83, byte(z + 1), 1}))
	}
	p, next, err := freePorts(append(ips, clients...))
	if err != nil {
		return nil, err
	}
	d.ports, d.serverPort = p, next
	d.storeAt = netip.AddrPortFrom(ips[0], next)
	if d.store, err = startStore(d.storeAt); err != nil {
		return nil, err
	}
	d.putConfiguration()
	for _, b := range d.balancers {
		b.ports = p
		if len(d.seeds) < 3 && b.name[len(b.name)-1] == '1' {
			d.seeds = append(d.seeds, b.at(p.control))
		}
	}
	for _, b := range d.balancers {
		if err := b.writeSettings(d.seeds, d.storeAt); err != nil {
			return nil, err
		}
	}
	d.fabric = newFabric(d.balancers, r, p.data)
	for z, ip := range clients {
		h, err := d.fabric.addHost(ip, l.zones[z])
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// putConfiguration writes the first configuration: one route to one service.
func (d *deployment) putConfiguration() {
	d.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": d.route.Addr().String(), "prefix": fmt.Sprintf("/%d/", d.route.Port()), "type": "non_idempotent",
			"timeout_ms": 2000, "slo_ms": 300, "priority": 1, "service": serviceName, "attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false, "cold_s": 2.0, "cold_rate_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// newServer returns a server that is not started yet. Its number has the hex digits of
// its ID.
func (d *deployment) newServer(number uint64, zone string) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &server{
		id: fmt.Sprintf("i-%x", number), number: number, service: serviceName, zone: zone, slots: 4,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 82, 0, byte(len(d.servers) + 1)}), d.serverPort),
		store:   d.store, record: d.record, clientPort: d.ports.data,
	}
	sumNames.Store(uint32(number)|1, s.id)
	d.servers = append(d.servers, s)
	return s
}

// startBalancers starts all balancers and waits until they are in rotation.
func (d *deployment) startBalancers() error {
	for _, b := range d.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	if !awaitReady(d.balancers, 20*time.Second) {
		return fmt.Errorf("the balancers are not ready")
	}
	d.record.say("all balancers are in rotation")
	return nil
}

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, b := range d.balancers {
		b.stop()
	}
	for _, s := range d.servers {
		s.stop()
	}
	d.fabric.close()
	_ = d.store.server.Close()
	_ = os.RemoveAll(d.dir)
}
