// Package bvconfig holds the configuration of a group: its availability
// zones, services, upstreams and balancers, as published by the platform.
//
// Configurations are ordered by [Version]; a node never goes back to a lower
// one. The published form is JSON with camel-case names, split into a
// manifest and content-addressed parts.
//
// # Usage
//
//	c, findings := bvconfig.Decode(manifest, parts)
//	if !findings.Empty() {
//		return findings.Err()
//	}
//	outcome := store.Offer(c, now)
package bvconfig

import (
	"bytes"
	"cmp"
	"net/netip"
	"time"

	"balsamvane/core/bvflow"

	"github.com/zeebo/xxh3"
)

// NodeID identifies a balancer. It is a hash of the balancer's VM name, so
// that it is the same in every revision.
type NodeID uint64

// UpstreamID identifies an upstream. It is a hash of service, VM name and
// tunnel address, so a VM name or an address that is reused for another service
// gets another ID.
type UpstreamID uint64

// Version orders configurations: by revision first, then by content hash.
type Version struct {
	Revision uint64
	Hash     [32]byte
}

// Compare returns -1, 0 or 1 as v is before, equal to or after w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Revision, w.Revision), bytes.Compare(v.Hash[:], w.Hash[:]))
}

// Config is one published configuration of a group.
type Config struct {
	Version   Version
	Group     string
	HashSeed  uint64
	Zones     []Zone
	Services  []Service
	Upstreams []Upstream
	Balancers []Balancer
}

// Zone is an availability zone.
type Zone struct {
	Name         string
	Region       string
	OutOfService bool
}

// Class orders services for shedding under overload.
type Class uint8

// The classes, from the last to be shed to the first.
const (
	ClassFeed Class = iota
	ClassInteractive
	ClassBulk
)

// Service is a set of upstreams behind one or more addresses.
type Service struct {
	Name string
	// VNI is the Geneve virtual network identifier (24 bits). Upstream VMs
	// accept only the VNI of their own service.
	VNI       uint32
	Addresses []netip.AddrPort
	Protocol  bvflow.Protocol
	Class     Class
	// Idempotent allows an opening packet that carries a request to be sent
	// to a second upstream.
	Idempotent bool
	// ColdFlowsPerSecond and WarmFlowsPerSecond bound the new flows of one
	// upstream, summed over all balancers, at the start and at the end of
	// WarmUp. A WarmFlowsPerSecond of 0 sets no bound once warm.
	ColdFlowsPerSecond float64
	WarmFlowsPerSecond float64
	WarmUp             time.Duration
	IdleTimeout        time.Duration
}

// Upstream is a VM that serves one service.
type Upstream struct {
	Name        string
	Service     string
	Zone        string
	Tunnel      netip.AddrPort // Geneve endpoint.
	Health      netip.AddrPort // HTTP health endpoint; invalid if there is none.
	Weight      uint32
	Slots       uint32
	Connections uint32
	// Leaving marks a draining upstream, which gets no new flows.
	Leaving bool
}

// ID returns the upstream's identity.
func (u Upstream) ID() UpstreamID {
	return UpstreamID(xxh3.HashString(u.Service + "\x00" + u.Name + "\x00" + u.Tunnel.String()))
}

// Balancer is a VM that runs balsamvane.
type Balancer struct {
	Name    string
	Zone    string
	Tunnel  netip.AddrPort // UDP: forwarded packets and heartbeats.
	Control netip.AddrPort // TCP: sync, push, configuration fetch.
	Leaving bool
}

// ID returns the balancer's identity.
func (b Balancer) ID() NodeID { return NodeIDOf(b.Name) }

// NodeIDOf returns the identity of the balancer with the given VM name.
func NodeIDOf(name string) NodeID { return NodeID(xxh3.HashString(name)) }
