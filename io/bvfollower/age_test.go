package bvfollower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// maxAllowedAge is the maximum age of the state while one source is healthy. The
// platform allows 3 s until a change is in force; the rest is for the transit of
// the answer and of the caller's packet.
const maxAllowedAge = 2700 * time.Millisecond

// behavior selects how a source answers.
type behavior int32

const (
	healthy behavior = iota
	slow
	stale
	refusing
	unresponsive
	redirecting // To an unresponsive source.
	isolated    // Without contact to the store, so that its state grows old.
	numBehaviors
)

func (m behavior) String() string {
	return [...]string{"healthy", "slow", "stale", "refusing", "unresponsive", "redirecting", "isolated"}[m]
}

const (
	answerTime = 100 * time.Millisecond // Answer time of a healthy source.
	slowTime   = 900 * time.Millisecond
)

// simulatedStore is a source without changes whose behavior may change at any
// time.
type simulatedStore struct {
	behavior atomic.Int32
	since    atomic.Int64 // Start of the behavior, in Unix nanoseconds.
	calls    *atomic.Int64
}

func (s *simulatedStore) set(m behavior) {
	s.since.Store(time.Now().UnixNano())
	s.behavior.Store(int32(m))
}

func (s *simulatedStore) List(ctx context.Context, _ func()) (Listing, error) {
	return s.Watch(ctx, Position{}, 0)
}

func (s *simulatedStore) Watch(ctx context.Context, _ Position, wait time.Duration) (Listing, error) {
	s.calls.Add(1)
	m := behavior(s.behavior.Load())
	age, delay := time.Duration(0), answerTime
	switch m {
	case slow:
		delay = slowTime
	case stale:
		age, wait = time.Minute, 0
	case refusing, redirecting:
		delay, wait = 0, 0
	case unresponsive:
		<-ctx.Done()
		return Listing{}, ctx.Err()
	case healthy, isolated:
	}
	select {
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	case <-time.After(wait + delay):
	}
	switch {
	case m == refusing:
		return Listing{}, errors.New("refused")
	case m == redirecting:
		return Listing{}, &Redirect{Others: []netip.AddrPort{firstTarget, secondTarget}}
	case behavior(s.behavior.Load()) == unresponsive:
		<-ctx.Done() // The answer is lost.
		return Listing{}, ctx.Err()
	}
	if m == isolated {
		age = time.Duration(time.Now().UnixNano() - s.since.Load())
	}
	return Listing{Revision: rev(5), Age: age}, nil
}

func (s *simulatedStore) Disconnect() {}

// ageHarness runs a follower of simulated sources.
type ageHarness struct {
	stores []*simulatedStore
	calls  atomic.Int64
	maxAge time.Duration // Highest age of the state.
}

// follow runs a follower of n sources for the duration d, while change sets their
// behavior.
func (a *ageHarness) follow(t *testing.T, n int, d time.Duration, change func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		var sources []Source
		for i := range n {
			s := &simulatedStore{calls: &a.calls}
			a.stores = append(a.stores, s)
			sources = append(sources, Source{Name: fmt.Sprint(i), Store: s, Direct: i == n-1})
		}
		unresponsivePeer := &simulatedStore{calls: new(atomic.Int64)}
		unresponsivePeer.set(unresponsive)
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			change(ctx)
		}()
		confirmedAt := time.Now()
		f := New(sources, clockwork.NewRealClock(), zap.NewNop(), Options{Self: self, Peer: func(p netip.AddrPort) Source {
			return Source{Name: p.String(), Store: unresponsivePeer}
		}})
		_ = f.Run(ctx, func(e Event) {
			a.maxAge = max(a.maxAge, time.Since(confirmedAt))
			var l Listing
			switch v := e.(type) {
			case Listed:
				l = v.Listing
			case Changed:
				l = v.Listing
			}
			if at := time.Now().Add(-l.Age); at.After(confirmedAt) {
				confirmedAt = at
			}
		})
		a.maxAge = max(a.maxAge, time.Since(confirmedAt))
		<-done
	})
}

// TestAgeBound guards against a state that grows old because the follower waits
// for one unresponsive source after the other, such as during a planned
// replacement of upstreams while two of the seeds hang. All sources but one
// become slow, stale or unresponsive, lose contact to the store, refuse calls, or
// redirect to unresponsive sources.
func TestAgeBound(t *testing.T) {
	const sources = 4
	for healthyIndex := range sources {
		combinations := 1
		for range sources - 1 {
			combinations *= int(numBehaviors - 1)
		}
		for c := range combinations {
			var a ageHarness
			var name string
			a.follow(t, sources, 12*time.Second, func(context.Context) {
				time.Sleep(2 * time.Second)
				for i, rest := 0, c; i < sources; i++ {
					m := healthy
					if i != healthyIndex {
						m = behavior(rest%int(numBehaviors-1)) + 1
						rest /= int(numBehaviors - 1)
					}
					name += " " + m.String()
					a.stores[i].set(m)
				}
			})
			assert.LessOrEqual(t, a.maxAge, maxAllowedAge, "sources:%s", name)
		}
	}
}

// TestAgeBoundChanging guards against the same failure while the behavior of the
// sources changes repeatedly, so that the follower's record of each is outdated.
func TestAgeBoundChanging(t *testing.T) {
	const sources = 4
	for seed := range uint64(150) {
		var a ageHarness
		r := rand.New(rand.NewPCG(seed, 1))
		healthyIndex := r.IntN(sources)
		a.follow(t, sources, time.Minute, func(ctx context.Context) {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				if i := r.IntN(sources); i != healthyIndex {
					a.stores[i].set(behavior(r.Int32N(int32(numBehaviors))))
				}
			}
		})
		assert.LessOrEqual(t, a.maxAge, maxAllowedAge, "seed %d, source %d is healthy", seed, healthyIndex)
	}
}

// TestCallsWhileAllSourcesFail guards against a flood of calls to sources that
// are down for a long time. The platform counts every call.
func TestCallsWhileAllSourcesFail(t *testing.T) {
	for m := slow + 1; m < numBehaviors; m++ {
		var a ageHarness
		a.follow(t, 4, 62*time.Second, func(context.Context) {
			time.Sleep(2 * time.Second)
			for _, s := range a.stores {
				s.set(m)
			}
		})
		const perSourceAndSecond = 1 // Delays grow to 2 s.
		assert.LessOrEqual(t, a.calls.Load(), int64(4*60*perSourceAndSecond+4*10), m.String())
	}
}
