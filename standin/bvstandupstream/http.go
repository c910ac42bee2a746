package bvstandupstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// health is the report of the design page, section 4.2.
type health struct {
	State           string    `json:"state"`
	StartedAt       time.Time `json:"startedAt"`
	OpenConnections int       `json:"openConnections"`
	BusySlots       int       `json:"busySlots"`
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		writeJSON(w, u.report(u.clock.Now()))
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		writeJSON(w, u.counts)
	})
	mux.HandleFunc("POST /lie", func(_ http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.lie = r.FormValue("state")
	})
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.coldSince = u.clock.Now()
	})
	return mux
}

// report returns what /health claims, which may be old or untrue.
func (u *Upstream) report(now time.Time) health {
	if u.shownAt.IsZero() || now.Sub(u.shownAt) >= u.options.HealthLag {
		u.shown = health{State: u.state(now), StartedAt: u.startedAt, OpenConnections: u.open(), BusySlots: len(u.running)}
		u.shownAt = now
	}
	h := u.shown
	if u.lie != "" {
		h.State = u.lie
	}
	return h
}

func (u *Upstream) state(now time.Time) string {
	switch {
	case u.draining:
		return "draining"
	case u.cold(now):
		return "cold"
	case len(u.queue) >= u.options.Queue:
		return "shedding"
	default:
		return "warm"
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader has gone if this fails.
	_ = json.NewEncoder(w).Encode(v)
}
