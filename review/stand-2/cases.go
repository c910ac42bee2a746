package main

import (
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Two IDs whose upper and lower half fold to the same 32 bits, as those of about two
// pairs among 140,000 random IDs do.
const (
	collidingNumber = 0x9046ff59e0
	addedNumber     = 0x1f46ff596f
)

// runCollision adds a server whose ID folds to the same token as that of a server with
// open flows.
func runCollision(d *deployment) (int, error) {
	numbers := []uint64{collidingNumber, 0xf4313c1eac, 0xd0f7e75727, 0x6a876a1f27}
	for i, n := range numbers {
		if err := d.newServer(n, []string{"zone-a", "zone-b"}[i%2]).start(); err != nil {
			return 0, err
		}
	}
	if err := d.startBalancers(); err != nil {
		return 0, err
	}
	l := &longFlows{deployment: d}
	l.start(60, contact+8*time.Second, 300*time.Millisecond, 50*time.Millisecond)
	time.Sleep(contact + 2*time.Second)
	added := d.newServer(addedNumber, "zone-a")
	if d.trouble {
		d.record.say("a server is added to the service: %s", added.id)
		if err := added.start(); err != nil {
			return 0, err
		}
	}
	l.wait.Wait()
	return l.foreignResets(), nil
}

// runCopies loses the answer to the opening of a few flows: one datagram each.
func runCopies(d *deployment) (int, error) {
	var mu sync.Mutex
	lost := map[netip.AddrPort]bool{}
	lose := func(f netip.AddrPort, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		if !d.trouble || n > 0 || lost[f] || f.Port()%12 != 0 {
			return false
		}
		lost[f] = true
		return true
	}
	for i, n := range []uint64{collidingNumber, 0xf4313c1eac, 0xd0f7e75727, 0x6a876a1f27} {
		s := d.newServer(n, []string{"zone-a", "zone-b"}[i%2])
		s.dropAnswer = lose
		if err := s.start(); err != nil {
			return 0, err
		}
	}
	if err := d.startBalancers(); err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	l := &longFlows{deployment: d}
	l.start(60, 8*time.Second, 300*time.Millisecond, 50*time.Millisecond)
	l.wait.Wait()
	d.record.say("answers to openings that the network lost: %d", len(lost))
	return l.foreignResets(), nil
}

// Of each tenth of a second, a machine's core runs for its quota. A process starts at any
// time of the tenth; firstSlice is what is left of the quota then.
const (
	quotaPeriod = 100 * time.Millisecond
	quota       = 8800 * time.Microsecond // cpu_share 0.088.
	firstSlice  = 2 * time.Millisecond
)

// throttle stops and continues a process so that it runs for the quota in each period,
// until done is closed.
func throttle(b *balancer, done <-chan struct{}) {
	for slice := firstSlice; ; slice = quota {
		time.Sleep(slice)
		b.signal(syscall.SIGSTOP)
		time.Sleep(quotaPeriod - quota)
		b.signal(syscall.SIGCONT)
		select {
		case <-done:
			return
		default:
		}
	}
}

// Times of the signals in runSighup.
const (
	settingsChangeAfter = 50 * time.Millisecond // After the start of the process.
	restartDelay        = 300 * time.Millisecond
	signalsPerMachine   = 4
	// countedEnds is how many ends of its own count on a machine. The first one follows a
	// start of the platform's and does not count.
	countedEnds = 3
)

// runSighup changes the settings file of machines whose process has just started, and sends
// SIGHUP, as the platform does. All processes run with the sites' share of a core as a quota.
func runSighup(d *deployment) (int, error) {
	if err := d.newServer(collidingNumber, "zone-a").start(); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for _, b := range d.balancers[:2] {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range signalsPerMachine {
				how, ended, err := startAndSignal(d, b)
				if err != nil || !ended {
					continue
				}
				d.record.say("%s has ended by itself: %s", b.name, how)
				mu.Lock()
				ends[b.name]++
				mu.Unlock()
				time.Sleep(restartDelay)
			}
		}()
	}
	wait.Wait()
	machines := 0
	for _, n := range ends {
		if n-1 >= countedEnds {
			machines++
		}
	}
	d.record.say("machines on which the process has ended by itself %d times, besides the first start: %d of %d", countedEnds, machines, len(d.balancers))
	if machines < 2 {
		return 0, nil
	}
	return machines, nil
}

// startAndSignal starts a process, or uses the one that runs, and sends it SIGHUP. It
// reports whether the process has ended within two seconds, and how.
func startAndSignal(d *deployment, b *balancer) (how string, ended bool, err error) {
	if b.process == nil || b.hasEnded() {
		if err := b.start(); err != nil {
			return "", false, err
		}
		d.record.add("%s starts", b.name)
	}
	done := make(chan struct{})
	var throttled sync.WaitGroup
	throttled.Go(func() { throttle(b, done) })
	time.Sleep(settingsChangeAfter)
	if d.trouble {
		// The seeds in another order: the settings have changed.
		seeds := slices.Clone(d.seeds)
		slices.Reverse(seeds)
		if err := b.writeSettings(seeds, d.storeAt); err != nil {
			return "", false, err
		}
		d.record.add("settings of %s change; it gets SIGHUP %s after its start", b.name, settingsChangeAfter)
		b.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	close(done)
	throttled.Wait()
	how, ended = b.ended()
	return how, ended, nil
}

// runAlias writes an entry of another writer, under an ID of its own, that names a service
// which does not exist.
func runAlias(d *deployment) (int, error) {
	var owner *server
	for i, n := range []uint64{collidingNumber, 0xf4313c1eac, 0xd0f7e75727, 0x6a876a1f27} {
		s := d.newServer(n, []string{"zone-a", "zone-b"}[i%2])
		if err := s.start(); err != nil {
			return 0, err
		}
		if owner == nil {
			owner = s
		}
	}
	other := d.newServer(0x31b174c273, "zone-a")
	other.service = "vault"
	if err := other.start(); err != nil {
		return 0, err
	}
	if err := d.startBalancers(); err != nil {
		return 0, err
	}
	l := &longFlows{deployment: d}
	l.start(60, contact+8*time.Second, 300*time.Millisecond, 50*time.Millisecond)
	time.Sleep(contact + 2*time.Second)
	if d.trouble {
		d.record.say("another writer writes the entry %s", otherWritersKey)
		d.store.put(otherWritersKey, map[string]any{
			"service": "lager", "addr": other.address.String(), "zone": "zone-a", "version": "v1", "slots": 4,
			"state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	l.wait.Wait()
	l.foreignResets()
	return misrouted(d, owner, other), nil
}

// otherWritersKey has the hex digits of collidingNumber, and is another key than that of
// the server.
const otherWritersKey = "servers/9046ff59e0"

// Limits of the rule on misrouted packets (misroute_window_ms).
const (
	misrouteWindow  = 2 * time.Second
	misroutePackets = 3
)

// misrouted returns how many flows of a server had so many packets at another server, and
// none at their own, within the window.
func misrouted(d *deployment, owner, other *server) int {
	n := 0
	for flow, at := range other.foreign {
		for i := 0; i+misroutePackets <= len(at); i++ {
			from, to := at[i], at[i].Add(misrouteWindow)
			if at[i+misroutePackets-1].After(to) || len(owner.own[flow]) == 0 || anyBetween(owner.own[flow], from, to) {
				continue
			}
			d.record.say("flow %s, open at server %s: %d packets reach server %s within %s, none its own", flow, owner.id, misroutePackets, other.id, misrouteWindow)
			n++
			break
		}
	}
	return n
}

func anyBetween(ts []time.Time, from, to time.Time) bool {
	for _, t := range ts {
		if !t.Before(from) && !t.After(to) {
			return true
		}
	}
	return false
}
