// Package bvsettings parses the settings of one balancer from YAML.
//
// Parsing is strict: unknown, repeated, missing and malformed settings are
// reported as findings with line and column, all of them in one run.
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
	// that starts while the platform does not answer requests the configuration
	// from them.
	Seeds    []netip.AddrPort
	Listen   Listen
	Fabric   Fabric
	Platform Platform
	Keys     Keys
	TLS      TLS
	Limits   Limits
	Timeouts Timeouts
	// Admission, Responses and Hedge apply to packets with tokens.
	Admission Admission
	Responses Responses
	Hedge     Hedge
	LogLevel  string // debug, info, warn or error.
	// Encapsulation is the encapsulation of callers' packets:
	// EncapsulationGeneve or EncapsulationToken. Settings that apply only to the
	// other one are not used.
	Encapsulation string
}

// The encapsulations of callers' packets.
const (
	EncapsulationGeneve = "geneve"
	// EncapsulationToken is a header with a field that both ends of a flow echo.
	EncapsulationToken = "token"
)

// Listen are the addresses that a balancer listens on.
type Listen struct {
	Fabric  netip.AddrPort // UDP: Geneve from the fabric.
	Peer    netip.AddrPort // UDP: packets forwarded by peers, and heartbeats.
	Control netip.AddrPort // TCP: calls of peers.
	Admin   netip.AddrPort // TCP: metrics, dump, status.
	Ready   netip.AddrPort // TCP: the platform's readiness check.
}

// Fabric holds the settings of the network fabric.
type Fabric struct {
	Return netip.AddrPort // Geneve endpoint to which refusals of packets are sent.
}

// Platform holds the addresses and timeouts for calls to the platform.
type Platform struct {
	Addresses   []netip.AddrPort
	ReadTimeout time.Duration
	WatchWait   time.Duration
}

// Keys holds the paths of shared key files.
type Keys struct {
	// Peer is the key that authenticates tunnel packets and heartbeats, and
	// control calls if no TLS files are set.
	Peer string
}

// TLS holds the paths of the files for mutual TLS between peers. Either all or none
// are set.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether control calls use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits are limits on the state that a balancer holds and the traffic that it
// sends.
type Limits struct {
	Flows                 int // Maximum entries of the flow table.
	PacketQueue           int // Maximum packets that wait for a routing decision.
	ControlBytesPerSecond int
	// ColdBalancers is the number of balancers that may send to one cold
	// upstream at a time if there are no seeds; with seeds, only the seeds do.
	// Each has an equal share of the upstream's limit: the configured rate times
	// ColdFactor, plus ColdSlack flows per second.
	ColdBalancers int
	ColdFactor    float64
	ColdSlack     float64
}

// Admission controls whether openings are refused while a service is short of
// capacity, those of the lowest priority first.
type Admission struct{ Enabled bool }

// Responses controls whether upstreams that reject requests, and zones whose latency is
// high, get fewer new flows.
type Responses struct{ Enabled bool }

// Hedge limits the openings of idempotent requests that are sent to a second upstream
// because the first has not answered: Fraction of all openings, and Burst of them at
// once. A Fraction of 0 sends none.
type Hedge struct {
	Fraction float64
	Burst    int
}

// Timeouts are the times after which state expires, and the time limits of a
// balancer's actions.
type Timeouts struct {
	Idle    time.Duration // Expiry of a flow without packets.
	Opening time.Duration // Expiry of an unanswered TCP opening, including its retransmissions.
	Stop    time.Duration // Time limit of a planned stop.
	// Configuration and Drain are the times within which a balancer on the
	// platform applies a changed configuration and the draining of an upstream.
	Configuration time.Duration
	Drain         time.Duration
}

// Default returns the default settings. Names, most addresses and the key file have
// no default.
func Default() Settings {
	return Settings{
		Listen:   Listen{Admin: netip.MustParseAddrPort("127.0.0.1:7074")},
		Platform: Platform{ReadTimeout: 2 * time.Second, WatchWait: 30 * time.Second},
		Limits: Limits{
			// 64 bytes per flow: 64 MB, for three times the current number of flows.
			Flows: 1_000_000,
			// About 1 ms of packets at a million packets per second.
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
		Hedge:         Hedge{Burst: 10},
		LogLevel:      "info",
		Encapsulation: EncapsulationGeneve,
	}
}

// Load reads and parses the settings file at path.
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

// Print writes the default settings as YAML. Settings without a default are empty,
// and required ones are marked by a comment.
func Print(w io.Writer) error {
	s := Default()
	root := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		f.put(root, f.target(&s))
	}
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	if err := e.Encode(root); err != nil {
		return eris.Wrap(err, "bvsettings: printing defaults")
	}
	return eris.Wrap(e.Close(), "bvsettings: printing defaults")
}
