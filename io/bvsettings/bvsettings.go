// Package bvsettings reads the settings of one balancer from YAML.
//
// Reading is strict: unknown, repeated, missing and malformed settings are
// findings with line and column, and one run reports all of them.
//
// # Usage
//
//	s, findings := bvsettings.Load("settings.yaml")
//	if err := findings.Err(); err != nil {
//		return err
//	}
package bvsettings

import (
	"errors"
	"io"
	"net/netip"
	"os"
	"time"

	"balsamvane/core/bvfinding"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Settings are the settings of one balancer.
type Settings struct {
	Node  string // VM name.
	Zone  string // Availability zone.
	Group string
	// Seeds are control addresses of some balancers of the group. A balancer
	// that starts while the platform does not answer asks them for the
	// configuration.
	Seeds    []netip.AddrPort
	Listen   Listen
	Fabric   Fabric
	Platform Platform
	Keys     Keys
	TLS      TLS
	Limits   Limits
	Timeouts Timeouts
	LogLevel string // debug, info, warn or error.
	// Encapsulation is how callers' packets come: EncapsulationGeneve or
	// EncapsulationToken. Settings of the other one are not used.
	Encapsulation string
}

// The encapsulations of callers' packets.
const (
	EncapsulationGeneve = "geneve"
	// EncapsulationToken is a header with a field that both ends return.
	EncapsulationToken = "token"
)

// Listen are the addresses that a balancer listens on.
type Listen struct {
	Fabric  netip.AddrPort // UDP: Geneve from the fabric.
	Peer    netip.AddrPort // UDP: handed-on packets and heartbeats.
	Control netip.AddrPort // TCP: calls of peers.
	Admin   netip.AddrPort // TCP: metrics, dump, status.
	Ready   netip.AddrPort // TCP: the platform's readiness check.
}

// Fabric is what a balancer needs to know of the fabric.
type Fabric struct {
	Return netip.AddrPort // Geneve address for refusals.
}

// Platform tells how to reach the platform.
type Platform struct {
	Addresses   []netip.AddrPort
	ReadTimeout time.Duration
	WatchWait   time.Duration
}

// Keys are the files of shared keys.
type Keys struct {
	// Peer authenticates tunnel packets and heartbeats, and control calls
	// if no TLS files are set.
	Peer string
}

// TLS are the files for mutual TLS between peers; either all or none is set.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether control calls use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bound what a balancer holds and sends.
type Limits struct {
	Flows                 int // Entries of the flow table.
	PacketQueue           int // Packets waiting for a decision.
	ControlBytesPerSecond int
	// ColdBalancers is the number of balancers that may send to one cold
	// upstream at a time if there are no seeds, which do it alone otherwise; each has an equal share of what that bears: the
	// declared rate by ColdFactor, plus ColdSlack flows per second.
	ColdBalancers int
	ColdFactor    float64
	ColdSlack     float64
}

// Timeouts are the times after which state is given up.
type Timeouts struct {
	Idle    time.Duration // A flow without packets.
	Opening time.Duration // A TCP opening, with all its retransmissions.
	Stop    time.Duration // A planned stop.
	// Configuration and Drain are the times within which a balancer on the
	// platform acts on a changed configuration and on an upstream that leaves.
	Configuration time.Duration
	Drain         time.Duration
}

// Default returns the settings that need not be given. Names, addresses and
// the key file have no default.
func Default() Settings {
	return Settings{
		Listen:   Listen{Admin: netip.MustParseAddrPort("127.0.0.1:7074")},
		Platform: Platform{ReadTimeout: 2 * time.Second, WatchWait: 30 * time.Second},
		Limits: Limits{
			// 64 bytes a flow: 64 MB, three times the flows of today.
			Flows: 1_000_000,
			// About 1 ms of packets at a million a second.
			PacketQueue:           1024,
			ControlBytesPerSecond: 3000,
			ColdBalancers:         32,
			ColdFactor:            1,
			ColdSlack:             0,
		},
		Timeouts: Timeouts{
			Idle: 2 * time.Hour, Opening: 65 * time.Second, Stop: 120 * time.Second,
			Configuration: 3 * time.Second, Drain: 3 * time.Second,
		},
		LogLevel:      "info",
		Encapsulation: EncapsulationGeneve,
	}
}

// Load reads the settings in the file at path.
func Load(path string) (Settings, bvfinding.List) {
	b, err := os.ReadFile(path)
	if err != nil {
		var l bvfinding.List
		problem := "file cannot be read"
		if errors.Is(err, os.ErrNotExist) {
			problem = "file does not exist"
		}
		l.Add(bvfinding.Place{File: path}, problem, "run \"balsamvane run --print-settings\" for a template")
		return Settings{}, l
	}
	return Parse(path, b)
}

// Print writes the default settings as YAML. Settings without a default are
// empty.
func Print(w io.Writer) error {
	s := Default()
	root := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		f.put(root, f.of(&s))
	}
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	if err := e.Encode(root); err != nil {
		return eris.Wrap(err, "bvsettings: printing defaults")
	}
	return eris.Wrap(e.Close(), "bvsettings: printing defaults")
}
