package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	ramMB        = 284 // limits.ram_mb of the machines of the small sites.
	restartDelay = 300 * time.Millisecond
	faultEnds    = 3 // Ends by itself that a machine may not reach.
	faultLeast   = 2 // Machines, and a tenth of those in use.
)

// residentMB returns the resident memory of the balancer's process.
func (b *balancer) residentMB() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == nil || b.ended {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.process.Process.Pid))
	if err != nil {
		return 0
	}
	kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(between(string(text), "VmRSS:", "\n")), "kB")))
	if err != nil {
		return 0
	}
	return kb / 1024
}

// guardMemory kills processes that exceed ram_mb, as the platform does, and starts
// them again. It returns the numbers of kills so far.
func (w *world) guardMemory() (ends func() []int) {
	var mu sync.Mutex
	counts := make([]int, len(w.balancers))
	for _, b := range w.balancers {
		go func() {
			reported := time.Now()
			for {
				select {
				case <-w.done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				mb := b.residentMB()
				if time.Since(reported) > 5*time.Second {
					w.rec.line("%s has %d MB", b.name(), mb)
					reported = time.Now()
				}
				if mb <= ramMB {
					continue
				}
				b.mu.Lock()
				exited, started := b.exited, b.started
				b.mu.Unlock()
				b.signal(syscall.SIGKILL)
				<-exited
				mu.Lock()
				counts[b.index]++
				w.rec.line("platform: %s has %d MB, more than ram_mb, %d, after %.1f s, and is killed: end %d", b.name(), mb, ramMB, time.Since(started).Seconds(), counts[b.index])
				mu.Unlock()
				select {
				case <-w.done:
					return
				case <-time.After(restartDelay):
				}
				if err := b.launch(); err != nil {
					w.rec.line("cannot start %s: %v", b.name(), err)
				}
			}
		}()
	}
	return func() []int {
		mu.Lock()
		defer mu.Unlock()
		return append([]int(nil), counts...)
	}
}

// caseMemory changes a large configuration again and again.
func caseMemory(ctx context.Context, root, record string) int {
	const balancers = 8
	w, err := newWorld(root, record, balancers, "desk", "vault")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if err := setUp(ctx, w, []int{0, 1, 2}, 4, 20*time.Millisecond, nil); err != nil {
		return w.result(err.Error(), false)
	}
	stop := make(chan struct{})
	wait := w.load(portFeed, 40, "feed", stop)
	ends := w.guardMemory()
	for n := range 7 {
		w.operator.change("big_config", func(c *config) {
			for i := range bigConfig {
				c.Routes = append(c.Routes, w.operator.newRoute(firstIdle+100+n*bigConfig+i, "idempotent", "desk"))
			}
		})
		sleep(ctx, 400*time.Millisecond)
	}
	gap := 60 * time.Millisecond
	if !w.trouble {
		gap = 5 * time.Second
	}
	faulty := func() int {
		n := 0
		for _, c := range ends() {
			if c >= faultEnds {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(92 * time.Second); time.Now().Before(end) && faulty() < faultLeast; sleep(ctx, gap) {
		w.operator.change("config_storm, time-outs", func(c *config) {
			for i := range c.Routes {
				c.Routes[i].Timeout = 2000 + c.Version%500
			}
		})
	}
	close(stop)
	wait()
	if n := faulty(); n >= faultLeast {
		w.rec.breaks("Fault: on %d of %d machines the process ended by itself %d times or more, without a disruption; ends by machine: %v", n, balancers, faultEnds, ends())
	}
	fmt.Println("ends by machine:", ends())
	return w.result("Fault: processes stay within ram_mb", true)
}
