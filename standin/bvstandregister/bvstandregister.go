// Package bvstandregister generates asset registers: the CSV files that
// operators export, with one row for each service address, upstream VM and
// balancer VM.
//
// # Usage
//
//	err := bvstandregister.Write(w, bvstandregister.Options{Services: 2, Zones: 4, Upstreams: 14, Balancers: 2, Seed: 1})
//
// The columns are
//
//	vm             VM name; empty in the row of a service
//	service        service name; empty in the row of a balancer
//	zone, region   empty in the row of a service
//	role           service, upstream or balancer
//	address, port  service address, or the VM's Geneve endpoint
//	healthAddress  ip:port of an upstream's HTTP health endpoint
//	controlAddress ip:port of a balancer's control endpoint
//	vni            VNI of the service; empty in the row of a balancer
//	protocol       tcp or udp; in the row of a service
//	class          feed, interactive or bulk; in the row of a service
//	weight, slots, connections   weight and limits of an upstream
//
// A service with several addresses has several rows.
package bvstandregister

import (
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
)

// Header is the first row of a register.
var Header = []string{
	"vm", "service", "zone", "region", "role", "address", "port", "healthAddress", "controlAddress",
	"vni", "protocol", "class", "weight", "slots", "connections",
}

// firstVNI is the VNI of the first service.
const firstVNI = 101

// Options are the dimensions of a register. Upstreams is the number per
// service, Balancers the number per zone.
type Options struct {
	Services  int
	Zones     int
	Regions   int // Zones are assigned to regions in turn; 0 means 1.
	Upstreams int
	Balancers int
	Seed      uint64
}

// Write writes a register. The same options yield the same bytes.
func Write(w io.Writer, o Options) error {
	if o.Services < 1 || o.Zones < 1 {
		return eris.New("bvstandregister: a register needs a service and a zone")
	}
	m := generator{csv: csv.NewWriter(w), options: o, random: rand.New(rand.NewPCG(o.Seed, 4))}
	m.row(Header...)
	for s := range o.Services {
		m.service(s)
	}
	for s := range o.Services {
		for u := range o.Upstreams {
			m.upstream(s, u)
		}
	}
	for z := range o.Zones {
		for b := range o.Balancers {
			m.balancer(z, b)
		}
	}
	m.csv.Flush()
	return eris.Wrap(m.csv.Error(), "bvstandregister: write")
}

type generator struct {
	csv     *csv.Writer
	options Options
	random  *rand.Rand
	vmCount uint32
}

func (m *generator) row(fields ...string) {
	// The writer keeps its first error; Write returns it after Flush.
	_ = m.csv.Write(fields)
}

func (m *generator) service(s int) {
	a := netip.AddrFrom4([4]byte{198, 18 + byte(s>>16), byte(s >> 8), byte(s)})
	class := []string{"interactive", "bulk", "feed"}[s%3]
	m.row("", serviceName(s), "", "", "service", a.String(), "443", "", "", vni(s), "tcp", class, "", "", "")
}

func (m *generator) upstream(s, u int) {
	// The first zone differs between services, so that small services are not
	// all in the same zones.
	zone, region := m.zone(s + u)
	a := m.address()
	weight := strconv.Itoa(50 * (1 + m.random.IntN(3)))
	m.row(fmt.Sprintf("up-%d-%d", s, u), serviceName(s), zone, region, "upstream", a.String(), "6081",
		netip.AddrPortFrom(a, 8080).String(), "", vni(s), "", "", weight, "4", "2000")
}

func (m *generator) balancer(z, b int) {
	zone, region := m.zone(z)
	a := m.address()
	m.row(fmt.Sprintf("lb-%s-%d", zone, b), "", zone, region, "balancer", a.String(), "6082",
		"", netip.AddrPortFrom(a, 7001).String(), "", "", "", "", "", "")
}

func (m *generator) zone(n int) (zone, region string) {
	z := n % m.options.Zones
	return fmt.Sprintf("zone-%d", z), fmt.Sprintf("region-%d", z%max(1, m.options.Regions))
}

// address returns the next VM address in 10.0.0.0/8.
func (m *generator) address() netip.Addr {
	m.vmCount++
	return netip.AddrFrom4([4]byte{10, byte(m.vmCount >> 16), byte(m.vmCount >> 8), byte(m.vmCount)})
}

func serviceName(s int) string { return fmt.Sprintf("service-%d", s) }

func vni(s int) string { return strconv.Itoa(firstVNI + s) }
