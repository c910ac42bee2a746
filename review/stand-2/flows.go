package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// contact is the time without disruption after which a machine is in touch (contact_ms).
const contact = 4 * time.Second

// longFlows keeps flows open and sends a request on each now and then. It returns, for
// each flow that broke, how.
type longFlows struct {
	deployment *deployment
	wait       sync.WaitGroup
	mu         sync.Mutex
	breaks     []flowBreak
	opened     int
	answered   int
}

// flowBreak is the end of an open flow that its client did not want.
type flowBreak struct {
	flow, openAt, failure string
}

// start opens n flows, and keeps each for a time.
func (l *longFlows) start(n int, keep, pause, work time.Duration) {
	for i := range n {
		h := l.deployment.hosts[i%len(l.deployment.hosts)]
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			l.keep(h, i, keep, pause, work)
		}()
	}
}

func (l *longFlows) keep(h *host, number int, keep, pause, work time.Duration) {
	x := h.newFlow(l.deployment.route)
	if !x.open() {
		return
	}
	l.mu.Lock()
	l.opened++
	l.mu.Unlock()
	end := time.Now().Add(keep)
	for n := 0; time.Now().Before(end); n++ {
		if failure := x.request(fmt.Sprintf("f%d-%d", number, n), work, 2*time.Second); failure != "" {
			l.broken(x, failure)
			return
		}
		l.mu.Lock()
		l.answered++
		l.mu.Unlock()
		if !x.pause(pause) {
			l.broken(x, "reset by "+x.resetBy)
			return
		}
	}
	x.close()
}

func (l *longFlows) broken(x *clientFlow, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks = append(l.breaks, flowBreak{flow: x.source.String(), openAt: sumName(x.opener), failure: failure})
}

// foreignResets returns how many open flows were reset by anyone but their server. All
// servers that a case of this kind starts live until its end.
func (l *longFlows) foreignResets() int {
	n := 0
	for _, b := range l.breaks {
		l.deployment.record.say("flow %s, open at server %s: %s", b.flow, b.openAt, b.failure)
		if strings.HasPrefix(b.failure, "reset by") && b.failure != "reset by server "+b.openAt {
			n++
		}
	}
	l.deployment.record.say("%d flows opened, %d requests answered, %d flows reset by others than their server", l.opened, l.answered, n)
	return n
}
