package bvtoken

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// UpstreamDump is the router's state of one upstream.
type UpstreamDump struct {
	ID           bvconfig.UpstreamID `json:"id"`
	Token        uint32              `json:"token"`
	Service      string              `json:"service"`
	Zone         string              `json:"zone"`
	Address      netip.AddrPort      `json:"address"`
	AcceptsFlows bool                `json:"takes"`
	Draining     bool                `json:"draining"`
	Cold         bool                `json:"cold"`
	Unresponsive bool                `json:"silent"`
	Load         float64             `json:"load"`    // Decaying count of requests.
	Open         int                 `json:"open"`    // Requests that wait for an answer.
	Opening      int                 `json:"opening"` // Openings that wait for an answer.
	Latency      string              `json:"latency"`
	Avoided      bool                `json:"avoided"` // Gets only probes, since it rejects requests.
}

// HandshakeTimeout returns the time after which an opening counts as
// unanswered.
func (r *Router) HandshakeTimeout() time.Duration { return r.handshake.timeout() }

// Dump returns the router's state of each upstream, sorted by ID.
func (r *Router) Dump(now time.Time) []UpstreamDump {
	r.refresh(now)
	out := make([]UpstreamDump, 0, len(r.targets))
	for id, t := range r.targets {
		e := t.entry
		out = append(out, UpstreamDump{
			ID: id, Token: uint32(e.Token), Service: e.Service, Zone: e.Zone, Address: e.Address,
			AcceptsFlows: e.AcceptsFlows() && !r.catalog.ZoneOutOfService(e.Zone), Draining: e.Draining, Cold: e.Cold(now),
			Unresponsive: r.limiter.Unresponsive(id), Load: t.load.requests(now), Open: t.load.open, Opening: t.load.opening, Latency: t.load.latency.String(), Avoided: t.rejections.avoided,
		})
	}
	slices.SortFunc(out, func(a, b UpstreamDump) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
