package bvcatalog

import (
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNewPut guards against entries of other writers that get flows although no
// upstream can be as they say, and against their content in memory, log lines and
// messages without a limit.
func TestNewPut(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	valid := Upstream{ID: 7, Address: netip.MustParseAddrPort("192.0.2.1:80"), Service: "desk", Zone: "zone-a", Slots: 4}
	addressOf := func(s string) func(*Upstream) {
		return func(u *Upstream) { u.Address = netip.MustParseAddrPort(s) }
	}
	tests := []struct {
		name string
		edit func(u *Upstream)
		ok   bool
	}{
		{"example", func(*Upstream) {}, true},
		{"greatest values", func(u *Upstream) {
			u.Slots, u.ColdFor, u.Service, u.Zone = maxSlots, maxColdFor, long[1:], long[1:]
		}, true},
		{"IPv6", addressOf("[2001:db8::1]:80"), true},
		{"no address", func(u *Upstream) { u.Address = netip.AddrPort{} }, false},
		{"port 0", addressOf("192.0.2.1:0"), false},
		{"unspecified address", addressOf("0.0.0.0:80"), false},
		{"unspecified IPv4 address in IPv6", addressOf("[::ffff:0.0.0.0]:80"), false},
		{"multicast address", addressOf("224.0.0.1:80"), false},
		{"broadcast address", addressOf("255.255.255.255:80"), false},
		{"address with an interface", addressOf("[fe80::1%eth0]:80"), false},
		{"no slots", func(u *Upstream) { u.Slots = 0 }, false},
		{"too many slots", func(u *Upstream) { u.Slots = maxSlots + 1 }, false},
		{"no service", func(u *Upstream) { u.Service = "" }, false},
		{"no zone", func(u *Upstream) { u.Zone = "" }, false},
		{"long service", func(u *Upstream) { u.Service = long }, false},
		{"long zone", func(u *Upstream) { u.Zone = long }, false},
		{"cold for too long", func(u *Upstream) { u.ColdFor = maxColdFor + 1 }, false},
		{"cold for less than no time", func(u *Upstream) { u.ColdFor = -time.Millisecond }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := valid
			tt.edit(&u)
			c := NewPut(rev(3), u)
			if tt.ok {
				assert.Equal(t, UpstreamPut{Revision: rev(3), Upstream: u}, c)
				return
			}
			x, ok := c.(UpstreamUnreadable)
			require.True(t, ok)
			assert.Equal(t, rev(3), x.Revision)
			assert.Equal(t, u.ID, x.ID)
			assert.NotEmpty(t, x.Problem)
		})
	}
}

// TestNewUnreadable guards against a problem that quotes a large entry, and against
// one that is cut within a character, which messages between balancers cannot hold.
func TestNewUnreadable(t *testing.T) {
	assert.Equal(t, "short", NewUnreadable(rev(3), 7, "short").Problem)
	for shift := range 3 {
		x := NewUnreadable(rev(3), 7, strings.Repeat("x", shift)+strings.Repeat("€", 1000))
		assert.LessOrEqual(t, len(x.Problem), maxProblemBytes)
		assert.Greater(t, len(x.Problem), maxProblemBytes-utf8.UTFMax)
		assert.True(t, utf8.ValidString(x.Problem))
	}
}

// TestUnreadableMemory guards against large entries that stay in memory because a part
// of their text is kept.
func TestUnreadableMemory(t *testing.T) {
	const size, count = 1 << 20, 64
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var kept []UpstreamUnreadable
	for range count {
		kept = append(kept, NewUnreadable(rev(3), 7, strings.Repeat("9", size)))
	}
	grown := int64(heap()) - int64(before)
	runtime.KeepAlive(kept)
	assert.Less(t, grown, int64(size))
}
