package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// balancer is one machine with the project's program as a process.
type balancer struct {
	name, zone string
	ip         netip.Addr
	ports      ports
	dir        string
	program    string
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	inRotation bool
	misses     int
}

// ports are the same on all machines.
type ports struct{ data, ready, control, admin uint16 }

func (b *balancer) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(b.ip, port) }

func (b *balancer) settingsPath() string { return filepath.Join(b.dir, b.name+".yaml") }

// writeSettings writes the settings file as the platform fills in the template of the
// deploy file, with the bounds of the sites.
func (b *balancer) writeSettings(seeds []netip.AddrPort, store netip.AddrPort) error {
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", s.String()))
	}
	text := fmt.Sprintf(`node: %q
zone: %q
encapsulation: token
seeds: [%s]
listen:
  control: %q
  fabric: %q
  ready: %q
  admin: %q
platform:
  addresses: [%q]
limits: { coldFactor: 1.5, coldSlack: 5 }
admission: {enabled: true}
responses: {enabled: true}
timeouts: {stop: 5s, configuration: 3000ms, drain: 3000ms }
`, b.name, b.zone, strings.Join(quoted, ", "), b.at(b.ports.control), b.at(b.ports.data), b.at(b.ports.ready), b.at(b.ports.admin), store)
	return os.WriteFile(b.settingsPath(), []byte(text), 0o644)
}

// start starts the process with the command of the deploy file.
func (b *balancer) start() error {
	log, err := os.OpenFile(filepath.Join(b.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(b.program, "run", "--settings-variable", "BALSAMVANE_BOOT")
	c.Env = []string{"BALSAMVANE_BOOT=" + b.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "LANG=C"}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	b.mu.Lock()
	b.process, b.exited = c, exited
	b.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (b *balancer) signal(s os.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.process.Process.Signal(s)
}

// ended reports whether the process has ended, and how.
func (b *balancer) ended() (string, bool) {
	select {
	case <-b.exited:
		return b.process.ProcessState.String(), true
	default:
		return "", false
	}
}

func (b *balancer) hasEnded() bool {
	_, ended := b.ended()
	return ended
}

func (b *balancer) stop() {
	if b.process == nil {
		return
	}
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGKILL)
	<-b.exited
}

// probe asks for the readiness as the platform's routers do, twice a second.
func (b *balancer) probe(c *http.Client) {
	resp, err := c.Get("http://" + b.at(b.ports.ready).String() + "/v1/ready")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.inRotation, b.misses = true, 0
		return
	}
	if b.misses++; b.misses >= 2 {
		b.inRotation = false
	}
}

func (b *balancer) rotates() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inRotation
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []netip.Addr) (ports, uint16, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, 0, err
		}
		base := uint16(l.Addr().(*net.TCPAddr).Port)
		_ = l.Close()
		if base > 60000 || !allFree(ips, base, base+8) {
			continue
		}
		return ports{data: base, ready: base + 1, control: base + 2, admin: base + 3}, base + 4, nil
	}
	return ports{}, 0, fmt.Errorf("no free ports")
}

func allFree(ips []netip.Addr, from, to uint16) bool {
	for _, ip := range ips {
		for p := from; p < to; p++ {
			a := netip.AddrPortFrom(ip, p).String()
			l, err := net.Listen("tcp", a)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", a)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

// awaitReady waits until all balancers are in rotation.
func awaitReady(bs []*balancer, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, b := range bs {
			if b.rotates() {
				ready++
			}
		}
		if ready == len(bs) {
			return true
		}
	}
	return false
}
