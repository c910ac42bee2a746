package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeHistory    = 20 * time.Second
	storePageItems  = 500
	storePageBytes  = 1 << 20
	storeMaxWait    = 30 * time.Second
)

// item is an entry of the store as it is answered. An event is an item as it was
// written, or a key, a revision and deleted.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type event struct {
	item item
	at   time.Time
}

// store is the platform's metadata store, in the form that the system can only
// read. Operators and servers write to it by put and remove.
type store struct {
	rec *recorder

	mu        sync.Mutex
	rev       int64
	compacted int64 // Changes up to this revision are no longer in the history.
	items     map[string]item
	history   []event
	changed   chan struct{}
	// turnedAway says which balancers get a 503 for every call.
	turnedAway []atomic.Bool
}

func newStore(rec *recorder, balancers int) *store {
	return &store{rec: rec, rev: 1, items: map[string]item{}, changed: make(chan struct{}), turnedAway: make([]atomic.Bool, balancers)}
}

// put writes an entry and returns its revision. The return is the store's
// acknowledgement.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.addEvent(it)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.addEvent(item{Key: key, Rev: s.rev, Deleted: true})
}

// addEvent adds an event and drops those older than the history. The caller holds
// mu.
func (s *store) addEvent(it item) {
	s.compact()
	s.history = append(s.history, event{it, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops what is older than the history. The caller holds mu.
func (s *store) compact() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.compacted = s.history[0].item.Rev
		s.history = s.history[1:]
	}
}

// serve answers the calls of balancer i.
func (s *store) serve(i int, l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("/v1/kv-key", func(w http.ResponseWriter, r *http.Request) { s.key(w, r) })
	m.HandleFunc("/v1/kv-range", func(w http.ResponseWriter, r *http.Request) { s.page(w, r) })
	m.HandleFunc("/v1/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r) })
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		if s.turnedAway[i].Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.ServeHTTP(w, r)
	})
	_ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Second}).Serve(l)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, rev})
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"has_more"`
		StoreRevision int64  `json:"store_revision"`
	}{Items: []item{}, StoreRevision: s.rev}
	size := 0
	for i, k := range keys {
		if i > 0 && (i >= storePageItems || size+len(s.items[k].Value) > storePageBytes) {
			out.HasMore = true
			break
		}
		size += len(s.items[k].Value)
		out.Items = append(out.Items, s.items[k])
	}
	s.mu.Unlock()
	answer(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(wait)*time.Millisecond, storeMaxWait))
	out := struct {
		Events        []item `json:"events"`
		StoreRevision int64  `json:"store_revision"`
	}{Events: []item{}}
	for waiting := true; ; {
		s.mu.Lock()
		s.compact()
		gone, changed := after < s.compacted, s.changed
		out.StoreRevision = s.rev
		for _, e := range s.history {
			if e.item.Rev > after && strings.HasPrefix(e.item.Key, q.Get("prefix")) {
				out.Events = append(out.Events, e.item)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Events) > 0 || !waiting {
			answer(w, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	SLO      int    `json:"slo_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdS      float64 `json:"cold_s"`
	ColdRate   float64 `json:"cold_rate_s"`
}

// config is the operators' configuration.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// operator writes the configuration.
type operator struct {
	store *store
	host  string
	mu    sync.Mutex
	now   config
}

func newOperator(s *store, host string, services ...string) *operator {
	o := &operator{store: s, host: host}
	o.now.Limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	for _, n := range services {
		o.now.Services = append(o.now.Services, service{Name: n, HealthPath: "/healthz", MaxConns: 2000, Protocol: "h1", ColdS: 2})
	}
	return o
}

func (o *operator) newRoute(port int, kind, service string) route {
	return route{
		Name: fmt.Sprintf("r-%06x", port*7919), Host: o.host, Prefix: fmt.Sprintf("/%d/", port), Type: kind, Timeout: 2000, SLO: 300,
		Priority: 1, Service: service, Attempts: 2,
	}
}

// change changes the configuration, writes it, and returns its version and the
// time of the acknowledgement.
func (o *operator) change(what string, f func(c *config)) (int, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.now)
	o.now.Version += 1 + o.now.Version%3
	b, _ := json.Marshal(o.now)
	o.store.put("op/config", b)
	at := time.Now()
	o.store.rec.line("operator: version %d of the configuration is acknowledged (%d routes, %d bytes): %s", o.now.Version, len(o.now.Routes), len(b), what)
	return o.now.Version, at
}
