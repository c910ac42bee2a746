package bvforwarder

import (
	"errors"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvtoken"
)

// status is the short state of a forwarder. Fields that Geneve balancers also
// have share their names, so that one command reads both.
type status struct {
	Node              string   `json:"node"`
	Zone              string   `json:"zone"`
	State             string   `json:"state"`
	Revision          uint64   `json:"revision"` // Version of the configuration.
	StoreRevision     int64    `json:"storeRevision"`
	StoreEra          uint64   `json:"storeEra"`
	PlatformAge       string   `json:"platformAge,omitempty"` // Absent before the first listing.
	Routes            int      `json:"routes"`
	ZonesOutOfService []string `json:"zonesOut,omitempty"`
	// Path holds the balancers through which the state of the store arrives; it
	// is empty if this balancer reads the store.
	Path      []netip.AddrPort `json:"path,omitempty"`
	Followers int              `json:"followers"`
	// ShortOfCapacity holds the services whose openings are refused now.
	ShortOfCapacity []admissionStatus `json:"shortOfCapacity,omitempty"`
}

// dump is the complete state of a forwarder.
type dump struct {
	status
	HandshakeTimeout string                 `json:"handshakeTimeout"`
	Upstreams        []bvtoken.UpstreamDump `json:"upstreams"`
	Admission        []admissionStatus      `json:"admission,omitempty"`
	Unreadable       []unreadableEntry      `json:"unreadable,omitempty"`
}

// unreadableEntry is an entry of the store that describes no upstream, or one that
// another writer has overwritten.
type unreadableEntry struct {
	ID      bvconfig.UpstreamID `json:"id"`
	Problem string              `json:"problem"`
}

// errNoFlowState is the answer to a dump request for one flow.
var errNoFlowState = errors.New("bvforwarder: no state is kept per flow; use balsamvane explain with the logs")

func (w *Forwarder) status() status {
	ready := w.isReady()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := status{
		Node: w.settings.Node, Zone: w.settings.Zone, State: "joining",
		Revision: w.catalog.Version(), StoreRevision: w.catalog.Revision().Number, StoreEra: w.catalog.Revision().Era,
		Routes: w.catalog.NumRoutes(), ZonesOutOfService: w.catalog.ZonesOutOfService(),
		Path: w.follower.Path(), Followers: w.relay.Followers(), ShortOfCapacity: w.admission(w.clock.Now(), true),
	}
	if w.catalog.Complete() {
		s.PlatformAge = w.catalog.Age(w.clock.Now()).Round(time.Millisecond).String()
		s.State = "isolated"
	}
	switch {
	case w.stopping.Load():
		s.State = "leaving"
	case ready:
		s.State = "active"
	}
	return s
}

// dump answers the dump endpoint with the complete state. The query can limit the
// upstreams to those of a service, and upstreams and unreadable entries to the one
// with an ID.
func (w *Forwarder) dump(q url.Values) (any, error) {
	if q.Get("flow") != "" {
		return nil, errNoFlowState
	}
	s := w.status()
	w.mu.Lock()
	defer w.mu.Unlock()
	service, id := q.Get("service"), q.Get("vm")
	hasOtherID := func(u bvconfig.UpstreamID) bool { return id != "" && strconv.FormatUint(uint64(u), 10) != id }
	us := slices.DeleteFunc(w.router.Dump(w.clock.Now()), func(u bvtoken.UpstreamDump) bool {
		return service != "" && u.Service != service || hasOtherID(u.ID)
	})
	out := dump{status: s, HandshakeTimeout: w.router.HandshakeTimeout().String(), Upstreams: us, Admission: w.admission(w.clock.Now(), false)}
	for _, e := range w.catalog.Unreadable() {
		if !hasOtherID(e.ID) {
			out.Unreadable = append(out.Unreadable, unreadableEntry{ID: e.ID, Problem: e.Problem})
		}
	}
	return out, nil
}
