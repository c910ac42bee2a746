package bvsettings

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimal = `node: vm-1
zone: a
group: serena
listen: {fabric: "127.0.0.1:1", peer: "127.0.0.1:2", control: "127.0.0.1:3"}
fabric: {return: "[::1]:4"}
platform:
  addresses: ["127.0.0.1:5", "127.0.0.1:6"]
  watchWait: 10s
keys: {peer: key}
`

// TestParse guards against settings that are stored in the wrong field and against
// overwritten defaults.
func TestParse(t *testing.T) {
	s, l := Parse("s.yaml", []byte(minimal))
	require.NoError(t, l.Err())
	want := Default()
	want.Node, want.Zone, want.Group = "vm-1", "a", "serena"
	want.Listen.Fabric = netip.MustParseAddrPort("127.0.0.1:1")
	want.Listen.Peer = netip.MustParseAddrPort("127.0.0.1:2")
	want.Listen.Control = netip.MustParseAddrPort("127.0.0.1:3")
	want.Fabric.Return = netip.MustParseAddrPort("[::1]:4")
	want.Platform.Addresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:5"), netip.MustParseAddrPort("127.0.0.1:6")}
	want.Platform.WatchWait = 10 * time.Second
	want.Keys.Peer = "key"
	assert.Equal(t, want, s)
}

// TestFindings guards against a run that reports only the first problem, or reports
// problems without line and column.
func TestFindings(t *testing.T) {
	_, l := Parse("s.yaml", []byte(`node: 5
zone: a
zone: b
colour: red
listen:
  fabric: here
  pear: "127.0.0.1:2"
limits: {flows: -1, packetQueue: 9999999}
platform: {addresses: [x], watchWait: 10ms}
tls: {key: k}
log: {level: loud}
group: a/b
`))
	var got []string
	for _, f := range l.Sorted() {
		got = append(got, f.Place.String()+" "+f.Problem)
	}
	assert.Equal(t, []string{
		`s.yaml setting "fabric.return" is missing`,
		`s.yaml setting "keys.peer" is missing`,
		`s.yaml:1:7 node: value is not a string`,
		`s.yaml:3:1 "zone" is set twice`,
		`s.yaml:4:1 unknown setting "colour"`,
		`s.yaml:6:3 setting "listen.control" is missing`,
		`s.yaml:6:3 setting "listen.peer" is missing`,
		`s.yaml:6:11 listen.fabric: value is not an IP address with port`,
		`s.yaml:7:3 unknown setting "listen.pear"`,
		`s.yaml:8:17 limits.flows: value is not a whole number above 0`,
		`s.yaml:8:34 limits.packetQueue: 9999999 is more than 16384`,
		`s.yaml:9:23 platform.addresses: list has an entry that is not an IP address with port`,
		`s.yaml:9:39 platform.watchWait: watchWait is sent in whole seconds and must be at least 1s`,
		`s.yaml:10:6 setting "tls.authority" is missing`,
		`s.yaml:10:6 setting "tls.certificate" is missing`,
		`s.yaml:11:14 log.level: level must be one of debug, info, warn, error`,
		`s.yaml:12:8 group: group is part of the platform's keys and must not contain /, ?, #, % or spaces`,
	}, got)
	_, l = Parse("s.yaml", []byte("node: [\nzone"))
	assert.Equal(t, 1, l.Len())
	assert.Positive(t, l.Sorted()[0].Line)
	_, l = Load("/nonexistent/settings.yaml")
	assert.Equal(t, 1, l.Len())
}

// TestPrint guards against a template that does not parse after its required
// settings are set, or that shows defaults other than those in use.
func TestPrint(t *testing.T) {
	var b strings.Builder
	require.NoError(t, Print(&b))
	out := b.String()
	for _, f := range fields {
		name := f.path[strings.LastIndex(f.path, ".")+1:]
		if !f.required {
			continue
		}
		value := `"127.0.0.1:1"`
		switch f.target(&Settings{}).(type) {
		case *string:
			value = "x"
		case *[]netip.AddrPort:
			value = `["127.0.0.1:1"]`
		}
		for _, empty := range []string{name + `: "" # required`, name + `: [] # required`} {
			out = strings.Replace(out, empty, name+": "+value, 1)
		}
	}
	s, l := Parse("printed", []byte(out))
	require.NoError(t, l.Err(), out)
	assert.Equal(t, Default().Limits, s.Limits)
	assert.Equal(t, Default().Timeouts, s.Timeouts)
}

// FuzzParse guards against panics on any YAML.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse("f", b) })
}

const minimalToken = `node: vm-1
zone: a
encapsulation: token
seeds: ["127.0.0.1:3"]
listen: {fabric: "127.0.0.1:1", ready: "127.0.0.1:2", control: "127.0.0.1:3"}
platform: {addresses: ["127.0.0.1:5"]}
limits: {coldBalancers: 8, coldFactor: 1.5, coldSlack: 0}
`

// TestTokenSettings guards against required settings that only the other
// encapsulation uses, and against missing settings of this encapsulation that are
// accepted.
func TestTokenSettings(t *testing.T) {
	s, l := Parse("s.yaml", []byte(minimalToken))
	require.NoError(t, l.Err())
	assert.Equal(t, EncapsulationToken, s.Encapsulation)
	assert.Equal(t, netip.MustParseAddrPort("127.0.0.1:2"), s.Listen.Ready)
	assert.Equal(t, 8, s.Limits.ColdBalancers)
	assert.Equal(t, 1.5, s.Limits.ColdFactor)
	assert.Zero(t, s.Limits.ColdSlack)
	for bad, problem := range map[string]string{
		strings.Replace(minimalToken, `ready: "127.0.0.1:2", `, "", 1): `setting "listen.ready" is missing`,
		strings.Replace(minimalToken, "token", "tunnel", 1):            "encapsulation must be one of geneve, token",
		strings.Replace(minimalToken, "1.5", "-1", 1):                  "limits.coldFactor: value is not a number of at least 0",
		strings.Replace(minimalToken, "1.5", ".nan", 1):                "limits.coldFactor: value is not a number of at least 0",
	} {
		_, l := Parse("s.yaml", []byte(bad))
		assert.ErrorContains(t, l.Err(), problem)
	}
}
