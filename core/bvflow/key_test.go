package bvflow

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestHasherKey guards against balancers that disagree on a flow's key, and
// against keys that ignore a part of the tuple.
func TestHasherKey(t *testing.T) {
	base := Tuple{
		Source:      netip.MustParseAddrPort("192.0.2.1:1000"),
		Destination: netip.MustParseAddrPort("198.51.100.1:443"),
		Protocol:    ProtocolTCP,
	}
	other := func(f func(*Tuple)) Tuple { u := base; f(&u); return u }
	h := NewHasher(7)
	assert.Equal(t, h.Key(base), NewHasher(7).Key(base), "same seed, same key")
	assert.NotEqual(t, h.Key(base), NewHasher(8).Key(base), "other seed, other key")
	for name, u := range map[string]Tuple{
		"source port":      other(func(u *Tuple) { u.Source = netip.MustParseAddrPort("192.0.2.1:1001") }),
		"source address":   other(func(u *Tuple) { u.Source = netip.MustParseAddrPort("192.0.2.2:1000") }),
		"destination port": other(func(u *Tuple) { u.Destination = netip.MustParseAddrPort("198.51.100.1:80") }),
		"protocol":         other(func(u *Tuple) { u.Protocol = ProtocolUDP }),
	} {
		assert.NotEqual(t, h.Key(base), h.Key(u), name)
	}
}
