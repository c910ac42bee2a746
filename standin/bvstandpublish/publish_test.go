package bvstandpublish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPublish guards against a manifest that lists missing parts or parts with
// other content, and against changes that are not published.
func TestPublish(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "platform")
	var f, added Fragment
	require.NoError(t, json.Unmarshal([]byte(`{"hashSeed":7,"zones":[{"name":"a"},{"name":"b"}],
		"services":[{"name":"s"}],"upstreams":[{"name":"u1","weight":100},{"name":"u2"}],"balancers":[{"name":"b1"}]}`), &f))
	require.NoError(t, json.Unmarshal([]byte(`{"balancers":[{"name":"b2"}]}`), &added))
	c := Change{ZonesOutOfService: []string{"b"}, Leaving: []string{"u1"}, Removed: []string{"u2"}, Added: []Fragment{added}}
	require.NoError(t, Publish(dir, "g", 3, f, c))

	read := func(key string, v any) []byte {
		b, err := os.ReadFile(filepath.Join(dir, key))
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(b, v))
		return b
	}
	var m manifest
	read("groups/g/manifest", &m)
	assert.Equal(t, "g", m.Group)
	assert.Equal(t, uint64(3), m.Revision)
	var union Fragment
	for _, p := range m.Parts {
		b := read(p.Key, &union)
		digest := sha256.Sum256(b)
		assert.Equal(t, p.SHA256, hex.EncodeToString(digest[:]))
		assert.Equal(t, p.Size, len(b))
	}
	seed := uint64(7)
	assert.Equal(t, Fragment{
		HashSeed:  &seed,
		Zones:     []map[string]any{{"name": "a", "outOfService": false}, {"name": "b", "outOfService": true}},
		Services:  []map[string]any{{"name": "s"}},
		Upstreams: []map[string]any{{"name": "u1", "weight": 100.0, "leaving": true}},
		Balancers: []map[string]any{{"name": "b1"}, {"name": "b2"}},
	}, union)
	var v struct{ VMs []vm }
	read("groups/g/vms", &v)
	assert.Equal(t, []vm{{"u1", "leaving"}, {"b1", "live"}, {"b2", "live"}, {"u2", "gone"}}, v.VMs)
}
