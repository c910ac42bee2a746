// Package bvnode composes a balancer's decisions into one state machine.
//
// It does no I/O and reads no clock. Packets go in and a
// [bvroute.Decision] comes out; every other event goes in through
// [Node.Handle] and a list of actions comes out.
//
// # Usage
//
//	n := bvnode.New(options, zap.NewNop())
//	for _, a := range n.Handle(clock.Now(), bvnode.Tick{}) {
//		switch a := a.(type) {
//		case bvnode.SendHeartbeat:
//			// send it
//		}
//	}
package bvnode

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"
)

// TickInterval is the time between two [Tick] events.
const TickInterval = 100 * time.Millisecond

// Options are what a node needs to know of itself.
type Options struct {
	Node                  string
	Zone                  string
	Group                 string
	Incarnation           uint64 // Larger than that of any earlier process of this node.
	MaxFlows              int
	ControlBytesPerSecond int
	IdleTimeout           time.Duration
	OpeningWindow         time.Duration
	StopTimeout           time.Duration
	// Seed feeds the jitter of delays.
	Seed uint64
}

// Node is the state machine of one balancer. It is not safe for concurrent
// use.
type Node struct {
	options Options
}

// New returns a node that has no configuration yet and is joining.
func New(o Options) *Node {
	return &Node{options: o}
}

// Packet decides on one packet. trail and record are zero for a packet that
// comes from the fabric.
func (n *Node) Packet(_ time.Time, _ bvflow.Packet, _ bvroute.Trail, _ bvroute.Record) bvroute.Decision {
	return bvroute.Decision{Verdict: bvroute.VerdictDrop, Reason: bvroute.ReasonNotConfigured}
}

// Handle takes an event and returns what is to be done.
func (n *Node) Handle(_ time.Time, _ Event) []Action { return nil }

// SyncRequest answers a peer's [RequestSync] with the records from cursor on,
// at most limit bytes of them.
func (n *Node) SyncRequest(_ time.Time, _ bvconfig.NodeID, _ uint64, _ int) SyncReceived {
	return SyncReceived{Done: true}
}

// Config returns the accepted configuration; ok is false if there is none yet.
func (n *Node) Config() (c bvconfig.Config, ok bool) { return bvconfig.Config{}, false }
