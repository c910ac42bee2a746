// Package bvadmin serves a balancer's metrics, state dump, status, readiness and
// explanations of openings over HTTP, for operators and their tools.
//
// # Usage
//
//	metrics := bvadmin.NewMetrics()
//	metrics.Scope.Counter("packetsIn").Inc(1)
//	s := bvadmin.New(metrics, bvadmin.Sources{Dump: dump, Status: status})
//	err := s.Serve(ctx, listener)
package bvadmin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"balsamvane/io/bvhttp"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which counters are passed to the Prometheus
// reporter; the values of a scrape are at most this old.
const reportInterval = time.Second

// Metrics are the metrics of one process. Names are camelCase; the values of
// labels come from fixed sets, so that their number is bounded.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() *Metrics {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "balsamvane",
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: r.HTTPHandler(), closer: closer}
}

// Close reports pending values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// Sources are the functions that return a balancer's state. They must be safe for
// concurrent use.
type Sources struct {
	// Dump returns the state as a value to encode as JSON. The query selects
	// parts: service, flow, vm.
	Dump func(query url.Values) (any, error)
	// Status returns the short state as a value to encode as JSON.
	Status func() any
	Ready  func() bool
	// Explain returns where an opening would go now and why, as a value to encode as
	// JSON. It is nil if the balancer cannot tell.
	Explain func(caller, destination netip.AddrPort) any
}

// Server serves the admin endpoints.
type Server struct {
	metrics *Metrics
	sources Sources
}

// New returns a server.
func New(m *Metrics, s Sources) *Server { return &Server{metrics: m, sources: s} }

// HTTP returns the server as an HTTP handler.
func (s *Server) HTTP() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", s.metrics.handler)
	m.HandleFunc("GET /dump", s.dump)
	m.HandleFunc("GET /status", s.status)
	m.HandleFunc("GET /ready", s.ready)
	m.HandleFunc("GET /explain", s.explain)
	return m
}

// Serve answers requests from l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return bvhttp.Serve(ctx, l, s.HTTP())
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	for k := range q {
		switch k {
		case "service", "flow", "vm":
		default:
			http.Error(w, "unknown parameter "+k+"; valid parameters are service, flow and vm", http.StatusBadRequest)
			return
		}
	}
	v, err := s.sources.Dump(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, v)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.sources.Status()) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.sources.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, "bvadmin: encoding answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(b, '\n'))
}
