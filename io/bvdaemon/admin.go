package bvdaemon

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvnode"
	"balsamvane/io/bvadmin"

	"github.com/rotisserie/eris"
)

func (d *Daemon) sources() bvadmin.Sources {
	return bvadmin.Sources{Dump: d.dump, Status: d.status, Ready: d.ready}
}

func (d *Daemon) status() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(d.clock.Now())
}

func (d *Daemon) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(d.clock.Now()).State == bvmember.StateActive.String()
}

// dump serves the dump endpoint. It returns the node's state, optionally
// filtered by service or VM, or the explanation of one flow's routing.
func (d *Daemon) dump(q url.Values) (any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if f := q.Get("flow"); f != "" {
		t, err := parseFlow(f)
		if err != nil {
			return nil, err
		}
		return d.node.Explain(now, t), nil
	}
	out := d.node.Dump(now)
	service, vm := q.Get("service"), q.Get("vm")
	out.Upstreams = slices.DeleteFunc(out.Upstreams, func(u bvnode.UpstreamDump) bool {
		return service != "" && u.Service != service || vm != "" && u.VM != vm
	})
	if vm != "" {
		out.Peers = slices.DeleteFunc(out.Peers, func(p bvnode.PeerDump) bool { return p.Node != vm })
	}
	return out, nil
}

// parseFlow reads a flow in the form protocol,source,destination, such as
// tcp,203.0.113.7:51234,192.0.2.10:7000.
func parseFlow(s string) (bvflow.Tuple, error) {
	var t bvflow.Tuple
	f := strings.Split(s, ",")
	if len(f) != 3 {
		return t, eris.Errorf("bvdaemon: flow %q is not in the form protocol,source,destination", s)
	}
	switch f[0] {
	case "tcp":
		t.Protocol = bvflow.ProtocolTCP
	case "udp":
		t.Protocol = bvflow.ProtocolUDP
	default:
		return t, eris.Errorf("bvdaemon: protocol %q is neither tcp nor udp", f[0])
	}
	var err error
	if t.Source, err = netip.ParseAddrPort(f[1]); err != nil {
		return t, eris.Errorf("bvdaemon: source %q is not ip:port", f[1])
	}
	if t.Destination, err = netip.ParseAddrPort(f[2]); err != nil {
		return t, eris.Errorf("bvdaemon: destination %q is not ip:port", f[2])
	}
	return t, nil
}
