package bvstandupstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// health is the health report of the design page, section 4.2.
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
		writeJSON(w, u.healthReport(u.clock.Now()))
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		writeJSON(w, u.counts)
	})
	mux.HandleFunc("POST /lie", func(_ http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.claimedState = r.FormValue("state")
	})
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.coldSince = u.clock.Now()
	})
	return mux
}

// healthReport returns the content of /health, which may be outdated or
// replaced by a claimed state.
func (u *Upstream) healthReport(now time.Time) health {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) >= u.options.HealthLag {
		u.reported = health{State: u.state(now), StartedAt: u.startedAt, OpenConnections: u.openFlows(), BusySlots: len(u.running)}
		u.reportedAt = now
	}
	h := u.reported
	if u.claimedState != "" {
		h.State = u.claimedState
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
	// Fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
