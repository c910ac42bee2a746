package bvforwarder

import (
	"time"

	"balsamvane/core/bvtoken"
)

// status is the short state of a forwarder.
type status struct {
	Node     string   `json:"node"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Version  uint64   `json:"version"`
	Revision int64    `json:"revision"`
	Age      string   `json:"age"`
	Routes   int      `json:"routes"`
	ZonesOut []string `json:"zonesOut"`
}

// dump is the whole state of a forwarder.
type dump struct {
	status
	Upstreams []bvtoken.UpstreamDump `json:"upstreams"`
}

func (w *Forwarder) status() status {
	ready := w.isReady()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	s := status{
		Node: w.settings.Node, Zone: w.settings.Zone, State: "starting",
		Version: w.catalog.Version(), Revision: int64(w.catalog.Revision()),
		Age: w.catalog.Age(now).Round(time.Millisecond).String(), Routes: w.catalog.Routes(), ZonesOut: w.catalog.ZonesOut(),
	}
	switch {
	case w.stopping.Load():
		s.State = "leaving"
	case ready:
		s.State = "active"
	case w.catalog.Complete():
		s.State = "isolated"
	}
	return s
}

func (w *Forwarder) dump() dump {
	s := w.status()
	w.mu.Lock()
	defer w.mu.Unlock()
	return dump{status: s, Upstreams: w.router.Dump(w.clock.Now())}
}
