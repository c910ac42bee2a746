package bvdaemon

import (
	"net/url"
	"time"

	"balsamvane/core/bvmember"
	"balsamvane/io/bvadmin"
)

// states are the names of a node's states in the status.
var states = map[bvmember.State]string{
	bvmember.StateJoining: "joining",
	bvmember.StateActive:  "active",
	bvmember.StateLeaving: "leaving",
}

// dump is the answer of the dump endpoint.
type dump struct {
	Status bvadmin.Status `json:"status"`
	// ConfigSince is when the configuration came into force on this node.
	ConfigSince *time.Time `json:"configSince,omitempty"`
	Node        any        `json:"node,omitempty"`
}

func (d *Daemon) sources() bvadmin.Sources {
	return bvadmin.Sources{Dump: d.dump, Status: d.status, Ready: d.ready}
}

// status returns what the node announced last to its peers.
func (d *Daemon) status() bvadmin.Status {
	h := d.heartbeat()
	return bvadmin.Status{
		Node:         d.settings.Node,
		Revision:     h.Version.Revision,
		BaseRevision: h.BaseRevision,
		State:        states[h.State],
		PlatformAge:  h.PlatformAge.Round(time.Millisecond).String(),
	}
}

func (d *Daemon) ready() bool { return d.heartbeat().State == bvmember.StateActive }

func (d *Daemon) dump(q url.Values) (any, error) {
	out := dump{Status: d.status(), ConfigSince: d.since.Load()}
	if d.options.Dump == nil {
		return out, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var err error
	out.Node, err = d.options.Dump(d.clock.Now(), q)
	return out, err
}
