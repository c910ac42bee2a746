package bvconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"

	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
)

var (
	protocols = map[string]bvflow.Protocol{"tcp": bvflow.ProtocolTCP, "udp": bvflow.ProtocolUDP}
	classes   = map[string]Class{"feed": ClassFeed, "interactive": ClassInteractive, "bulk": ClassBulk}
)

// String returns the published name of the class.
func (c Class) String() string {
	switch c {
	case ClassFeed:
		return "feed"
	case ClassInteractive:
		return "interactive"
	case ClassBulk:
		return "bulk"
	default:
		return "unknown"
	}
}

// ManifestKey returns the platform key of a group's manifest.
func ManifestKey(group string) string { return "groups/" + group + "/manifest" }

// PartKey returns the platform key of the part with the given SHA-256 in
// lower-case hexadecimal digits.
func PartKey(group, sha string) string { return "groups/" + group + "/parts/" + sha }

// Part is a manifest's reference to one part.
type Part struct {
	Key    string
	SHA256 [32]byte
	Size   int
}

// Manifest is the list of parts that make up one revision.
type Manifest struct {
	Group   string
	Version Version
	Parts   []Part
}

// listedPart is a part with its offset in the manifest.
type listedPart struct {
	Part
	offset int
}

// DecodeManifest decodes a manifest, which lists the parts to fetch before a
// call of [Decode].
func DecodeManifest(manifest []byte) (Manifest, bvfinding.List) {
	var l bvfinding.List
	m, listed, _ := readManifest(manifest, &l)
	for _, p := range listed {
		m.Parts = append(m.Parts, p.Part)
	}
	return m, l
}

func readManifest(data []byte, l *bvfinding.List) (Manifest, []listedPart, *reader) {
	var m Manifest
	var parts []listedPart
	var found bvfinding.List
	r := newReader("manifest", data, &found)
	m.Version.Hash = sha256.Sum256(data)
	r.object(func(name string) bool {
		switch name {
		case "group":
			return r.textTo(&m.Group)
		case "revision":
			return r.uint64To(&m.Version.Revision)
		case "parts":
			r.array(func() { parts = append(parts, readListedPart(r)) })
			return true
		}
		return false
	})
	r.end()
	if !r.failed && m.Group == "" {
		r.add(0, "the manifest has no group", `add "group"`)
	}
	if !r.failed && m.Version.Revision == 0 {
		r.add(0, "the manifest has no revision", `add "revision", a number of at least 1`)
	}
	// Findings carry the key of the manifest on the platform, which is known
	// only after the group has been read.
	if m.Group != "" {
		r.file = ManifestKey(m.Group)
	}
	for _, f := range found.Sorted() {
		f.File = r.file
		l.Add(f.Place, f.Problem, f.Remedy)
	}
	r.findings = l
	return m, parts, r
}

func readListedPart(r *reader) listedPart {
	p := listedPart{offset: r.nextOffset()}
	size := uint32(0)
	r.object(func(name string) bool {
		switch name {
		case "key":
			return r.textTo(&p.Key)
		case "size":
			return r.uint32To(&size)
		case "sha256":
			s, o, ok := r.text()
			b, err := hex.DecodeString(s)
			if ok && (err != nil || len(b) != len(p.SHA256)) {
				r.add(o, "not a SHA-256", "write 64 hexadecimal digits")
			}
			copy(p.SHA256[:], b)
			return true
		}
		return false
	})
	p.Size = int(size)
	return p
}

// Decode reads a manifest and its parts, which are keyed by platform key.
// Parts that the manifest does not list are ignored. The configuration is
// usable only if there are no findings; [Validate] checks its content.
func Decode(manifest []byte, parts map[string][]byte) (Config, bvfinding.List) {
	var l bvfinding.List
	m, listed, r := readManifest(manifest, &l)
	c := Config{Version: m.Version, Group: m.Group}
	seen := map[string]bool{}
	seeds := 0
	for _, p := range listed {
		if seen[p.Key] {
			r.add(p.offset, fmt.Sprintf("part %q is listed twice", p.Key), "list it once")
			continue
		}
		seen[p.Key] = true
		if data, ok := checkPart(r, m.Group, p, parts); ok {
			seeds += readFragment(newReader(p.Key, data, &l), &c)
		}
	}
	if l.Empty() && seeds != 1 {
		r.add(0, fmt.Sprintf("hashSeed appears in %d parts", seeds), "publish it in exactly one part")
	}
	return c, l
}

// checkPart returns the content of a part if it is the one that the manifest
// lists.
func checkPart(r *reader, group string, p listedPart, parts map[string][]byte) ([]byte, bool) {
	sha := hex.EncodeToString(p.SHA256[:])
	if p.Key != PartKey(group, sha) {
		r.add(p.offset, fmt.Sprintf("part key %q does not name the group and content hash", p.Key),
			"write "+PartKey(group, sha))
		return nil, false
	}
	data, ok := parts[p.Key]
	if !ok {
		r.add(p.offset, fmt.Sprintf("part %q is missing", p.Key), "publish the parts before the manifest")
		return nil, false
	}
	if len(data) != p.Size {
		r.add(p.offset, fmt.Sprintf("part %q has %d bytes, but the manifest lists %d", p.Key, len(data), p.Size), "publish the part again")
		return nil, false
	}
	if sha256.Sum256(data) != p.SHA256 {
		r.add(p.offset, fmt.Sprintf("part %q does not have the SHA-256 that the manifest lists", p.Key), "publish the part again")
		return nil, false
	}
	return data, true
}

// readFragment decodes a fragment, which is the content of one part, appends it to
// c and returns the number of hash seeds in it.
func readFragment(r *reader, c *Config) (seeds int) {
	r.object(func(name string) bool {
		switch name {
		case "hashSeed":
			seeds++
			return r.uint64To(&c.HashSeed)
		case "zones":
			r.array(func() { c.Zones = append(c.Zones, readZone(r)) })
		case "services":
			r.array(func() { c.Services = append(c.Services, readService(r)) })
		case "upstreams":
			r.array(func() { c.Upstreams = append(c.Upstreams, readUpstream(r)) })
		case "balancers":
			r.array(func() { c.Balancers = append(c.Balancers, readBalancer(r)) })
		default:
			return false
		}
		return true
	})
	r.end()
	return seeds
}

func readZone(r *reader) (z Zone) {
	r.object(func(name string) bool {
		switch name {
		case "name":
			return r.textTo(&z.Name)
		case "region":
			return r.textTo(&z.Region)
		case "outOfService":
			return r.boolTo(&z.OutOfService)
		}
		return false
	})
	return z
}

func readService(r *reader) (s Service) {
	r.object(func(name string) bool {
		switch name {
		case "name":
			return r.textTo(&s.Name)
		case "vni":
			return r.uint32To(&s.VNI)
		case "addresses":
			r.array(func() {
				i := len(s.Addresses)
				s.Addresses = append(s.Addresses, netip.AddrPort{})
				r.addressTo(&s.Addresses[i])
			})
			return true
		case "protocol":
			return enumTo(r, &s.Protocol, protocols, "tcp or udp")
		case "class":
			return enumTo(r, &s.Class, classes, "feed, interactive or bulk")
		case "idempotent":
			return r.boolTo(&s.Idempotent)
		case "coldFlowsPerSecond":
			return r.floatTo(&s.ColdFlowsPerSecond)
		case "warmFlowsPerSecond":
			return r.floatTo(&s.WarmFlowsPerSecond)
		case "warmUp":
			return r.durationTo(&s.WarmUp)
		case "idleTimeout":
			return r.durationTo(&s.IdleTimeout)
		}
		return false
	})
	return s
}

func readUpstream(r *reader) (u Upstream) {
	r.object(func(name string) bool {
		switch name {
		case "name":
			return r.textTo(&u.Name)
		case "service":
			return r.textTo(&u.Service)
		case "zone":
			return r.textTo(&u.Zone)
		case "tunnel":
			return r.addressTo(&u.Tunnel)
		case "health":
			return r.addressTo(&u.Health)
		case "weight":
			return r.uint32To(&u.Weight)
		case "slots":
			return r.uint32To(&u.Slots)
		case "connections":
			return r.uint32To(&u.Connections)
		case "leaving":
			return r.boolTo(&u.Leaving)
		}
		return false
	})

	return u
}

func readBalancer(r *reader) (b Balancer) {
	r.object(func(name string) bool {
		switch name {
		case "name":
			return r.textTo(&b.Name)
		case "zone":
			return r.textTo(&b.Zone)
		case "tunnel":
			return r.addressTo(&b.Tunnel)
		case "control":
			return r.addressTo(&b.Control)
		case "leaving":
			return r.boolTo(&b.Leaving)
		}
		return false
	})
	return b
}
