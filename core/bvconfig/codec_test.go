package bvconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

func addr(n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(port))
}

// sample returns a valid configuration with two zones.
func sample(revision uint64, upstreams, balancers int) Config {
	c := Config{
		Version: Version{Revision: revision}, Group: "serena", HashSeed: 1<<63 + 7,
		Zones: []Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r", OutOfService: true}},
		Services: []Service{{
			Name: "bench", VNI: 7, Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.1:443")},
			Protocol: bvflow.ProtocolTCP, ColdFlowsPerSecond: 1.5, WarmFlowsPerSecond: 30, WarmUp: 90 * time.Second,
		}},
	}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, Upstream{
			Name: fmt.Sprintf("vm-%06d", i), Service: "bench", Zone: "ab"[i%2 : i%2+1],
			Tunnel: addr(i+1, 6081), Health: addr(i+1, 80), Weight: 1, Slots: 4, Connections: 2000,
		})
	}
	for i := range balancers {
		c.Balancers = append(c.Balancers, Balancer{
			Name: fmt.Sprintf("lb-%d", i), Zone: "ab"[i%2 : i%2+1], Tunnel: addr(1<<20+i, 6081), Control: addr(1<<20+i, 7000),
		})
	}
	return c
}

// TestEncodeRoundTrip guards against values lost between registers and nodes,
// and against bytes that depend on the order of the lists.
func TestEncodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sample(rapid.Uint64Min(1).Draw(t, "revision"), rapid.IntRange(0, 300).Draw(t, "upstreams"), 4)
		maxPart := rapid.IntRange(600, 20000).Draw(t, "maxPart")
		manifest, parts, err := Encode(c, maxPart)
		require.NoError(t, err)
		for k, p := range parts {
			require.LessOrEqual(t, len(p), maxPart, k)
		}
		got, l := Decode(manifest, parts)
		require.NoError(t, l.Err())
		c.Version.Hash = sha256.Sum256(manifest)
		require.Equal(t, c.sorted(), got)

		shuffled := c
		shuffled.Upstreams = rapid.Permutation(c.Upstreams).Draw(t, "order")
		again, _, err := Encode(shuffled, maxPart)
		require.NoError(t, err)
		require.Equal(t, string(manifest), string(again))
	})
}

// TestEncodeSize guards against parts that the platform refuses at the design size.
func TestEncodeSize(t *testing.T) {
	c := sample(1, 140_000, 8)
	_, parts, err := Encode(c, 0)
	require.NoError(t, err)
	for k, p := range parts {
		assert.Less(t, len(p), MaxPartBytes, k)
	}
}

// TestEncodeStability guards against one removed upstream replacing all parts
// that follow it, which would break the control budget.
func TestEncodeStability(t *testing.T) {
	c := sample(1, 10_000, 8)
	_, before, err := Encode(c, 50_000)
	require.NoError(t, err)
	c.Upstreams = slices.Delete(slices.Clone(c.Upstreams), 5_000, 5_001)
	_, after, err := Encode(c, 50_000)
	require.NoError(t, err)
	fresh := 0
	for k := range after {
		if _, ok := before[k]; !ok {
			fresh++
		}
	}
	assert.LessOrEqual(t, fresh, 3, "of %d parts", len(after))
}

// publish wraps one fragment in a manifest.
func publish(fragment string) ([]byte, map[string][]byte, string) {
	sum := sha256.Sum256([]byte(fragment))
	sha := hex.EncodeToString(sum[:])
	key := PartKey("g", sha)
	m := fmt.Sprintf(`{"group":"g","revision":3,"parts":[{"key":%q,"sha256":%q,"size":%d}]}`, key, sha, len(fragment))
	return []byte(m), map[string][]byte{key: []byte(fragment)}, key
}

// TestDecodeFindings guards against findings without their place and against
// a decoder that stops at the first one.
func TestDecodeFindings(t *testing.T) {
	for _, c := range []struct {
		name, fragment string
		want           []string // line:column and the start of the problem
	}{
		{
			"unknown fields", "{\"hashSeed\":1,\n \"zonez\":[],\n\"zones\":[{\"name\":\"a\",\"out\":true}]}",
			[]string{":2:2: unknown field \"zonez\"", ":3:22: unknown field \"out\""},
		},
		{"case of names", `{"HashSeed":1,"hashSeed":2}`, []string{`:1:2: unknown field "HashSeed"`}},
		{
			"wrong kinds", "{\"hashSeed\":\"x\",\n\"upstreams\":[{\"name\":1,\"weight\":-1,\"leaving\":\"no\",\"tunnel\":\"x\"},5]}",
			[]string{":1:13: expected a whole number", ":2:22: expected a string", ":2:33: -1 is not", ":2:46: expected true or false", ":2:60: \"x\" is not an address", ":2:65: expected an object"},
		},
		{
			"words and durations", `{"hashSeed":1,"services":[{"protocol":"sctp","class":"x","warmUp":"1"}]}`,
			[]string{`:1:39: unknown word "sctp"`, `:1:54: unknown word "x"`, `:1:67: "1" is not a duration`},
		},
		{"syntax", "{\"hashSeed\":1,\n\"zones\":[{]}", []string{":2:11: JSON syntax"}},
		{"truncated", `{"hashSeed":1`, []string{":1:14: the document ends too early"}},
		{"twice", `{"hashSeed":1,"hashSeed":2}`, []string{`:1:15: field "hashSeed" appears twice`}},
		{"trailing", `{"hashSeed":1} {}`, []string{":1:16: text after the end"}},
		{"no seed", `{}`, []string{"manifest:1:1: hashSeed stands in 0 parts"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifest, parts, key := publish(c.fragment)
			_, l := Decode(manifest, parts)
			got := l.Sorted()
			require.Len(t, got, len(c.want), "%v", got)
			for i, w := range c.want {
				s := strings.TrimPrefix(strings.TrimPrefix(got[i].String(), key), "groups/g/")
				assert.True(t, strings.HasPrefix(s, w), "got %s, want %s", s, w)
			}
		})
	}
}

// TestDecodeParts guards against a partially published or damaged set being
// taken for a configuration.
func TestDecodeParts(t *testing.T) {
	manifest, parts, key := publish(`{"hashSeed":1}`)
	for name, c := range map[string]struct {
		change func(m string) string
		part   string
		want   string
	}{
		"missing":  {want: "is missing"},
		"hash":     {part: `{"hashSeed":2}`, want: "does not have the SHA-256"},
		"size":     {part: `{"hashSeed":10}`, want: "has 15 bytes"},
		"key":      {part: `{"hashSeed":1}`, change: func(m string) string { return strings.Replace(m, "groups/g/parts", "groups/h/parts", 1) }, want: "does not name the group"},
		"revision": {part: `{"hashSeed":1}`, change: func(m string) string { return strings.Replace(m, `"revision":3,`, "", 1) }, want: "no revision"},
		"sha":      {part: `{"hashSeed":1}`, change: func(m string) string { return strings.Replace(m, `"sha256":"`, `"sha256":"z`, 1) }, want: "not a SHA-256"},
	} {
		t.Run(name, func(t *testing.T) {
			m, p := string(manifest), map[string][]byte{}
			if c.change != nil {
				m = c.change(m)
			}
			if c.part != "" {
				p[key] = []byte(c.part)
			}
			_, l := Decode([]byte(m), p)
			require.Error(t, l.Err())
			assert.Contains(t, l.Err().Error(), c.want)
		})
	}
	_, l := Decode(manifest, parts)
	assert.NoError(t, l.Err(), "the undamaged set")
}

// FuzzDecode guards against a panic on published values that are no
// configuration, and against one that does not survive a second round.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"hashSeed":1,"zones":[{"name":"a"}],"upstreams":[{"name":"u","tunnel":"[::1]:1"}]}`))
	f.Add([]byte(`{"hashSeed":1,"services":[{"name":"s","warmUp":"1s","addresses":["10.0.0.1:1"]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		DecodeManifest(b)
		manifest, parts, _ := publish(string(b))
		c, l := Decode(manifest, parts)
		invalid := Validate(c)
		if !l.Empty() || !invalid.Empty() {
			return
		}
		m, p, err := Encode(c, 0)
		require.NoError(t, err)
		again, l := Decode(m, p)
		require.NoError(t, l.Err())
		m2, _, _ := Encode(again, 0)
		require.True(t, bytes.Equal(m, m2))
	})
}
