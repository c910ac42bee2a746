package bvconfig

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// MaxPartBytes is the largest value, in bytes, that the platform accepts.
const MaxPartBytes = 1_000_000

// meanCutInterval is the mean number of elements between two positions where a
// part may end. The positions depend on the elements' names only, so that
// adding or removing one element changes one or two parts and not all that
// follow.
const meanCutInterval = 64

type wirePart struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
	Size   int    `json:"size"`
}

type wireManifest struct {
	Group    string     `json:"group"`
	Revision uint64     `json:"revision"`
	Parts    []wirePart `json:"parts"`
}

type wireZone struct {
	Name         string `json:"name"`
	Region       string `json:"region,omitempty"`
	OutOfService bool   `json:"outOfService,omitempty"`
}

type wireService struct {
	Name               string   `json:"name"`
	VNI                uint32   `json:"vni"`
	Addresses          []string `json:"addresses"`
	Protocol           string   `json:"protocol"`
	Class              string   `json:"class"`
	Idempotent         bool     `json:"idempotent,omitempty"`
	ColdFlowsPerSecond float64  `json:"coldFlowsPerSecond,omitempty"`
	WarmFlowsPerSecond float64  `json:"warmFlowsPerSecond,omitempty"`
	WarmUp             string   `json:"warmUp,omitempty"`
	IdleTimeout        string   `json:"idleTimeout,omitempty"`
}

type wireUpstream struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Tunnel      string `json:"tunnel,omitempty"`
	Health      string `json:"health,omitempty"`
	Weight      uint32 `json:"weight"`
	Slots       uint32 `json:"slots,omitempty"`
	Connections uint32 `json:"connections,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

type wireBalancer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Tunnel  string `json:"tunnel,omitempty"`
	Control string `json:"control,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func wireOfService(s Service) wireService {
	w := wireService{
		Name: s.Name, VNI: s.VNI, Protocol: s.Protocol.String(), Class: s.Class.String(), Idempotent: s.Idempotent,
		ColdFlowsPerSecond: s.ColdFlowsPerSecond, WarmFlowsPerSecond: s.WarmFlowsPerSecond,
		WarmUp: durationText(s.WarmUp), IdleTimeout: durationText(s.IdleTimeout), Addresses: []string{},
	}
	for _, a := range s.Addresses {
		w.Addresses = append(w.Addresses, addressText(a))
	}
	return w
}

func wireOfUpstream(u Upstream) wireUpstream {
	return wireUpstream{
		Name: u.Name, Service: u.Service, Zone: u.Zone, Tunnel: addressText(u.Tunnel), Health: addressText(u.Health),
		Weight: u.Weight, Slots: u.Slots, Connections: u.Connections, Leaving: u.Leaving,
	}
}

func wireOfBalancer(b Balancer) wireBalancer {
	return wireBalancer{
		Name: b.Name, Zone: b.Zone, Tunnel: addressText(b.Tunnel), Control: addressText(b.Control), Leaving: b.Leaving,
	}
}

// element is one object of a fragment.
type element struct {
	list string
	name string
	json []byte
}

// sorted returns c with all lists in a fixed order, so that the published
// bytes do not depend on the order of c's lists.
func (c Config) sorted() Config {
	c.Zones, c.Services = slices.Clone(c.Zones), slices.Clone(c.Services)
	c.Upstreams, c.Balancers = slices.Clone(c.Upstreams), slices.Clone(c.Balancers)
	slices.SortStableFunc(c.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	slices.SortStableFunc(c.Balancers, func(a, b Balancer) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

func elements(c Config) ([]element, error) {
	c = c.sorted()
	var es []element
	add := func(list, name string, wire any) error {
		b, err := json.Marshal(wire)
		if err != nil {
			return fmt.Errorf("bvconfig: encode %s %q: %w", list, name, err)
		}
		es = append(es, element{list: list, name: name, json: b})
		return nil
	}
	for _, z := range c.Zones {
		if err := add("zones", z.Name, wireZone(z)); err != nil {
			return nil, err
		}
	}
	for _, s := range c.Services {
		if err := add("services", s.Name, wireOfService(s)); err != nil {
			return nil, err
		}
	}
	for _, u := range c.Upstreams {
		if err := add("upstreams", u.Service+"/"+u.Name, wireOfUpstream(u)); err != nil {
			return nil, err
		}
	}
	for _, b := range c.Balancers {
		if err := add("balancers", b.Name, wireOfBalancer(b)); err != nil {
			return nil, err
		}
	}
	return es, nil
}

// fragment builds the content of one part, with one element on each line so that
// a finding's line identifies the element.
type fragment struct {
	buf  bytes.Buffer
	list string
}

func newFragment() *fragment {
	f := &fragment{}
	f.buf.WriteByte('{')
	return f
}

func (f *fragment) seed(s uint64) { fmt.Fprintf(&f.buf, "\"hashSeed\":%d", s) }

func (f *fragment) add(e element) {
	switch {
	case f.list == e.list:
		f.buf.WriteString(",\n")
	default:
		f.closeList()
		if f.buf.Len() > 1 {
			f.buf.WriteString(",\n")
		}
		fmt.Fprintf(&f.buf, "%q:[\n", e.list)
		f.list = e.list
	}
	f.buf.Write(e.json)
}

func (f *fragment) closeList() {
	if f.list != "" {
		f.buf.WriteString("\n]")
		f.list = ""
	}
}

func (f *fragment) finish() []byte {
	f.closeList()
	f.buf.WriteString("}\n")
	return f.buf.Bytes()
}

// Encode returns the published form of c: the manifest and the parts, keyed by
// platform key, each of at most maxPart bytes ([MaxPartBytes] if maxPart is 0).
// The same configuration gives the same bytes, whatever the order of its lists.
// The version of the encoded configuration has c's revision and the SHA-256 of
// the manifest as hash.
func Encode(c Config, maxPart int) (manifest []byte, parts map[string][]byte, err error) {
	if maxPart <= 0 {
		maxPart = MaxPartBytes
	}
	es, err := elements(c)
	if err != nil {
		return nil, nil, err
	}
	parts = map[string][]byte{}
	m := wireManifest{Group: c.Group, Revision: c.Version.Revision, Parts: []wirePart{}}
	flush := func(f *fragment) {
		b := f.finish()
		sum := sha256.Sum256(b)
		sha := hex.EncodeToString(sum[:])
		key := PartKey(c.Group, sha)
		parts[key] = b
		m.Parts = append(m.Parts, wirePart{Key: key, SHA256: sha, Size: len(b)})
	}
	f := newFragment()
	f.seed(c.HashSeed)
	// overhead bounds the bytes that a list name and the closing brackets add.
	const overhead = 32
	for _, e := range es {
		if len(e.json)+2*overhead > maxPart {
			return nil, nil, fmt.Errorf("bvconfig: encode: %s %q has %d bytes, more than a part may have", e.list, e.name, len(e.json))
		}
		full := f.buf.Len()+len(e.json)+2*overhead > maxPart
		cut := f.buf.Len() > maxPart/8 && xxh3.HashString(e.name)%meanCutInterval == 0
		if full || cut {
			flush(f)
			f = newFragment()
		}
		f.add(e)
	}
	flush(f)
	manifest, err = json.Marshal(m)
	if err != nil {
		return nil, nil, fmt.Errorf("bvconfig: encode manifest: %w", err)
	}
	return append(manifest, '\n'), parts, nil
}
