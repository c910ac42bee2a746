package bvgroup

import (
	"fmt"
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/rotisserie/eris"
)

// Shape describes the size of a group. Balancers and upstreams are assigned to
// the zones in turn.
type Shape struct {
	Zones     int
	Balancers int
	Upstreams []int // Number of upstreams of each service.
	// Cold and Warm are the limits of new flows a second for one cold or warm
	// upstream, and WarmUp is the warm-up time. Zero values set no limit.
	Cold, Warm float64
	WarmUp     time.Duration
	// Connections is the connection limit of one upstream; 2,000 if it is 0.
	Connections uint32
}

func address(kind, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), uint16(port))
}

// ServiceAddress returns the address of the service with the given index.
func ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(10 + i)}), 443)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

func (s Shape) config() bvconfig.Config {
	c := bvconfig.Config{Group: "serena", HashSeed: 7}
	for i := range s.Zones {
		c.Zones = append(c.Zones, bvconfig.Zone{Name: zoneName(i), Region: "region-1"})
	}
	for i := range s.Balancers {
		c.Balancers = append(c.Balancers, bvconfig.Balancer{
			Name: fmt.Sprintf("balancer-%d", i), Zone: zoneName(i % s.Zones),
			Tunnel: address(1, i, 6082), Control: address(1, i, 7001),
		})
	}
	connections, total := s.Connections, 0
	if connections == 0 {
		connections = 2000
	}
	for i, n := range s.Upstreams {
		name := fmt.Sprintf("service-%d", i)
		c.Services = append(c.Services, bvconfig.Service{
			Name: name, VNI: uint32(101 + i), Addresses: []netip.AddrPort{ServiceAddress(i)},
			Protocol: bvflow.ProtocolTCP, ColdFlowsPerSecond: s.Cold, WarmFlowsPerSecond: s.Warm, WarmUp: s.WarmUp,
			IdleTimeout: 2 * time.Hour,
		})
		for j := range n {
			c.Upstreams = append(c.Upstreams, bvconfig.Upstream{
				Name: fmt.Sprintf("%s-vm-%d", name, j), Service: name, Zone: zoneName(j % s.Zones),
				Tunnel: address(2, total, 6081), Health: address(2, total, 8080),
				Weight: 100, Slots: 4, Connections: connections,
			})
			total++
		}
	}
	return c
}

// bundle is a configuration with its encoded manifest and parts.
type bundle struct {
	config   bvconfig.Config
	manifest []byte
	parts    map[string][]byte
}

func newBundle(c bvconfig.Config) (bundle, error) {
	m, parts, err := bvconfig.Encode(c, bvconfig.MaxPartBytes)
	if err != nil {
		return bundle{}, eris.Wrap(err, "bvgroup: encode the configuration")
	}
	d, findings := bvconfig.Decode(m, parts)
	if !findings.Empty() {
		return bundle{}, eris.Wrap(findings.Err(), "bvgroup: validate the configuration")
	}
	return bundle{config: d, manifest: m, parts: parts}, nil
}

// size returns the number of bytes of the manifest and all parts.
func (b bundle) size() int { return b.sizeWithout(bundle{}) }

// sizeWithout returns the number of bytes that a node with the bundle old has
// to read: the manifest and the parts that old lacks.
func (b bundle) sizeWithout(old bundle) int {
	n := len(b.manifest)
	for k, p := range b.parts {
		if _, ok := old.parts[k]; !ok {
			n += len(p)
		}
	}
	return n
}

// ConfigBytes returns the size of the published configuration.
func (g *Group) ConfigBytes() int { return g.published.size() }
