package bvtoken

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// UpstreamDump is what the router knows of one upstream.
type UpstreamDump struct {
	ID       bvconfig.UpstreamID `json:"id"`
	Token    uint32              `json:"token"`
	Service  string              `json:"service"`
	Zone     string              `json:"zone"`
	Address  netip.AddrPort      `json:"address"`
	Takes    bool                `json:"takes"`
	Draining bool                `json:"draining"`
	Cold     bool                `json:"cold"`
	Silent   bool                `json:"silent"`
	Load     float64             `json:"load"`
	Open     int                 `json:"open"`
	Opening  int                 `json:"opening"`
	Latency  string              `json:"latency"`
}

// HandshakeTimeout returns the time after which an opening counts as
// unanswered.
func (r *Router) HandshakeTimeout() time.Duration { return r.handshake.timeout() }

// Dump returns what the router knows of the upstreams, by ID.
func (r *Router) Dump(now time.Time) []UpstreamDump {
	r.refresh(now)
	out := make([]UpstreamDump, 0, len(r.targets))
	for id, t := range r.targets {
		e := t.entry
		out = append(out, UpstreamDump{
			ID: id, Token: uint32(e.Token), Service: e.Service, Zone: e.Zone, Address: e.Address,
			Takes: e.AcceptsFlows() && !r.catalog.OutOfService(e.Zone), Draining: e.Draining, Cold: e.Cold(now),
			Silent: r.limiter.Unresponsive(id), Load: t.load.requests(now), Open: t.load.open, Opening: t.load.opening, Latency: t.load.latency.String(),
		})
	}
	slices.SortFunc(out, func(a, b UpstreamDump) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
