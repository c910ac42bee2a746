package bvlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSetService guards against an upstream that loses its state when another
// upstream of its service changes or it moves to another service, and against
// an upstream that stays after its removal.
func TestSetService(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{EjectFraction: 1})
	l.SetZone(now, "zone-a", 1)
	l.SetShareEnabled(true)
	u := func(id bvconfig.UpstreamID) Upstream { return Upstream{ID: id, Slots: 4} }
	l.SetService(now, "desk", []Upstream{u(1), u(2)})
	l.SetService(now, "vault", []Upstream{u(3)})
	l.Unanswered(now, 1)
	l.Unanswered(now, 1)
	require.False(t, l.Admit(now, 1))
	l.SetService(now, "desk", []Upstream{u(1)})
	assert.False(t, l.Admit(now, 1), "it is still ejected")
	assert.False(t, l.Admit(now, 2), "it was removed")
	assert.True(t, l.Admit(now, 3), "the other service is unchanged")
	l.SetService(now, "vault", []Upstream{u(1), u(3)})
	l.SetService(now, "desk", nil)
	assert.False(t, l.Admit(now, 1), "it is still ejected in the other service")
	assert.True(t, l.Unresponsive(1))
}

// TestSetServices guards against limits that depend on the order in which
// services are set: only the last state of each service counts.
func TestSetServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := New(Options{})
		l.SetZone(now, "zone-a", 1)
		serviceOf := map[bvconfig.UpstreamID]string{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			for id := range bvconfig.UpstreamID(5) {
				serviceOf[id] = fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "service"))
			}
			for s := range 3 { // An upstream at s3 is removed.
				var us []Upstream
				for id := range bvconfig.UpstreamID(5) {
					if name := fmt.Sprint("s", s); serviceOf[id] == name {
						us = append(us, Upstream{ID: id, Service: name, Leaving: id == 4})
					}
				}
				l.SetService(now, fmt.Sprint("s", s), us)
			}
			n := 0
			for id, name := range serviceOf {
				x := l.upstreams[id]
				if name == "s3" {
					require.Nil(t, x)
					continue
				}
				n++
				require.NotNil(t, x, "upstream %d of %s", id, name)
				require.Same(t, l.services[name], x.service)
				require.Contains(t, x.service.all, x)
				require.Equal(t, id != 4, slices.Contains(x.service.available, x))
			}
			total := 0
			for _, s := range l.services {
				total += len(s.all)
			}
			require.Equal(t, n, total)
			require.Len(t, l.upstreams, n)
		}
	})
}
