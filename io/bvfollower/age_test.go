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

// mostAge is the age that the state may reach while one source is well. The
// platform allows 3 s until a change is in force; the rest is for the answer
// and for the caller's packet on its way.
const mostAge = 2700 * time.Millisecond

// mood is how a source behaves.
type mood int32

const (
	well mood = iota
	slow
	old
	refusing
	silent
	redirecting // To a source that is silent.
	fading      // Without the store, so that its state grows old.
	moods
)

func (m mood) String() string {
	return [...]string{"well", "slow", "old", "refusing", "silent", "redirecting", "fading"}[m]
}

const (
	answerTime = 100 * time.Millisecond // Of a source that is well.
	slowTime   = 900 * time.Millisecond
)

// moodyStore is a source without changes whose mood may change at any time.
type moodyStore struct {
	mood  atomic.Int32
	since atomic.Int64 // When the mood began, in Unix nanoseconds.
	calls *atomic.Int64
}

func (s *moodyStore) set(m mood) {
	s.since.Store(time.Now().UnixNano())
	s.mood.Store(int32(m))
}

func (s *moodyStore) List(ctx context.Context, _ func()) (Listing, error) {
	return s.Watch(ctx, Position{}, 0)
}

func (s *moodyStore) Watch(ctx context.Context, _ Position, wait time.Duration) (Listing, error) {
	s.calls.Add(1)
	m := mood(s.mood.Load())
	age, delay := time.Duration(0), answerTime
	switch m {
	case slow:
		delay = slowTime
	case old:
		age, wait = time.Minute, 0
	case refusing, redirecting:
		delay, wait = 0, 0
	case silent:
		<-ctx.Done()
		return Listing{}, ctx.Err()
	case well, fading:
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
		return Listing{}, &Redirect{Others: []netip.AddrPort{firstNamed, secondNamed}}
	case mood(s.mood.Load()) == silent:
		<-ctx.Done() // The answer is lost.
		return Listing{}, ctx.Err()
	}
	if m == fading {
		age = time.Duration(time.Now().UnixNano() - s.since.Load())
	}
	return Listing{Revision: 5, Age: age}, nil
}

func (s *moodyStore) Disconnect() {}

// agingFollower is a follower of moody sources.
type agingFollower struct {
	stores []*moodyStore
	calls  atomic.Int64
	oldest time.Duration // Largest age that the state has had.
}

// follow runs a follower of n sources for a time and lets change set moods
// meanwhile.
func (a *agingFollower) follow(t *testing.T, n int, d time.Duration, change func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		var sources []Source
		for i := range n {
			s := &moodyStore{calls: &a.calls}
			a.stores = append(a.stores, s)
			sources = append(sources, Source{Name: fmt.Sprint(i), Store: s, Direct: i == n-1})
		}
		gone := &moodyStore{calls: new(atomic.Int64)}
		gone.set(silent)
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			change(ctx)
		}()
		contact := time.Now()
		f := New(sources, clockwork.NewRealClock(), zap.NewNop(), Options{Self: self, Peer: func(p netip.AddrPort) Source {
			return Source{Name: p.String(), Store: gone}
		}})
		_ = f.Run(ctx, func(e Event) {
			a.oldest = max(a.oldest, time.Since(contact))
			var l Listing
			switch v := e.(type) {
			case Listed:
				l = v.Listing
			case Changed:
				l = v.Listing
			}
			if at := time.Now().Add(-l.Age); at.After(contact) {
				contact = at
			}
		})
		a.oldest = max(a.oldest, time.Since(contact))
		<-done
	})
}

// TestAgeBound guards against a state that grows old because sources that do
// not answer are waited for one after the other: pattern of a planned
// replacement of upstreams while two of the seeds are frozen. Each source but
// one turns silent, slow, old, refusing, or names sources that are silent.
func TestAgeBound(t *testing.T) {
	const sources = 4
	for healthy := range sources {
		combinations := 1
		for range sources - 1 {
			combinations *= int(moods - 1)
		}
		for c := range combinations {
			var a agingFollower
			var name string
			a.follow(t, sources, 12*time.Second, func(context.Context) {
				time.Sleep(2 * time.Second)
				for i, rest := 0, c; i < sources; i++ {
					m := well
					if i != healthy {
						m = mood(rest%int(moods-1)) + 1
						rest /= int(moods - 1)
					}
					name += " " + m.String()
					a.stores[i].set(m)
				}
			})
			assert.LessOrEqual(t, a.oldest, mostAge, "sources:%s", name)
		}
	}
}

// TestAgeBoundChanging guards against the same while the sources change over
// and over, so that what is known of each is out of date.
func TestAgeBoundChanging(t *testing.T) {
	const sources = 4
	for seed := range uint64(150) {
		var a agingFollower
		r := rand.New(rand.NewPCG(seed, 1))
		healthy := r.IntN(sources)
		a.follow(t, sources, time.Minute, func(ctx context.Context) {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				if i := r.IntN(sources); i != healthy {
					a.stores[i].set(mood(r.Int32N(int32(moods))))
				}
			}
		})
		assert.LessOrEqual(t, a.oldest, mostAge, "seed %d, source %d is well", seed, healthy)
	}
}

// TestCallsWhileNoSourceIsWell guards against a flood of calls to sources that
// are down for a long time: of the platform's calls each one is counted.
func TestCallsWhileNoSourceIsWell(t *testing.T) {
	for m := slow + 1; m < moods; m++ {
		var a agingFollower
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
