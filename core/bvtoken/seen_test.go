package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSeenFlows guards against a flow that counts as open since before its first packet,
// whatever other flows share its slot, and after the times overflow.
func TestSeenFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSeenFlows(), start
		s.epoch = start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second).Add(-(1 << 32) * time.Millisecond).Add(time.Minute)
		type open struct {
			key   bvflow.Key
			token bvcatalog.Token
		}
		first, last := map[open]time.Time{}, map[open]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8e6).Draw(t, "us")) * time.Microsecond)
			var x open
			x.key[2] = byte(rapid.IntRange(0, 2).Draw(t, "key")) // Not part of the slot's number.
			x.token = bvcatalog.Token(rapid.IntRange(1, 2).Draw(t, "token"))
			if now.Sub(last[x]) > seenTimeout+time.Second {
				first[x] = now
			}
			last[x] = now
			openFor := s.record(now, x.key, x.token)
			require.GreaterOrEqual(t, openFor, time.Duration(0))
			require.LessOrEqual(t, openFor, now.Sub(first[x]))
			require.Equal(t, openFor, s.record(now, x.key, x.token))
		}
	})
}
