package bvstandcaller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamvane/standin/bvstandupstream"
	"balsamvane/standin/bvwire"

	"github.com/rotisserie/eris"
)

// countsTimeout bounds one HTTP request for an upstream's counts.
const countsTimeout = 2 * time.Second

// Summary is the result of a run, printed as one line.
type Summary struct {
	Requests      int `json:"requests"`
	Complete      int `json:"whole"`
	WrongService  int `json:"wrongService"`
	Refused       int `json:"refused"`
	FalseRefusals int `json:"falseRefusals"` // Refused, but run by an upstream.
	RanTwice      int `json:"ranTwice"`      // IDs run more than once.
	BrokenFeeds   int `json:"brokenFeeds"`
	Abandoned     int `json:"givenUp"`
	// ZoneQuietMillis is the time from the publication that takes a zone out
	// of service to the last packet that the zone's upstreams receive.
	ZoneQuietMillis *int64 `json:"zoneQuietMs,omitempty"`
}

// Report is the detailed result of a run.
type Report struct {
	Summary
	RefusedAfterWarmUp int            `json:"refusedAfterWarmUp"`
	Feeds              int            `json:"feeds"`
	FeedsComplete      int            `json:"feedsWhole"`
	Moved              int            `json:"moved"` // Flows answered by more than one upstream.
	ServedSeconds      float64        `json:"servedSeconds"`
	Outcomes           map[string]int `json:"outcomes"`
	// Failed lists the first failed requests with their outcomes.
	Failed []string `json:"failed,omitempty"`
	// Opened is the number of new flows of each upstream, Overloads the number
	// of times that new flows overloaded a cold upstream.
	Opened        map[string]int `json:"opened"`
	Overloads     int            `json:"overloads"`
	MissingCounts []string       `json:"missingCounts,omitempty"`
}

// maxFailed is the maximum length of Report.Failed.
const maxFailed = 20

// report returns the counts of the outcomes so far.
func (c *Caller) report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Outcomes: map[string]int{}, Opened: map[string]int{}}
	r.ServedSeconds = min(now.Sub(c.startedAt), c.options.Duration).Seconds()
	for _, f := range c.allFlows {
		r.Requests++
		r.Outcomes[outcomeNames[f.outcome]]++
		if f.moved {
			r.Moved++
		}
		if f.verb == bvwire.VerbFeed {
			r.Feeds++
		}
		r.countOutcome(f, f.opened.Sub(c.startedAt) > c.options.WarmUp)
		if f.outcome != outcomeOpen && f.outcome != outcomeComplete && len(r.Failed) < maxFailed {
			r.Failed = append(r.Failed, fmt.Sprintf("%s %s at %v after %v ms from %v",
				f.id, outcomeNames[f.outcome], f.answeredBy, f.opened.Sub(c.startedAt).Milliseconds(), f.source))
		}
	}
	return r
}

func (r *Report) countOutcome(f *flow, afterWarmUp bool) {
	feed := f.verb == bvwire.VerbFeed
	switch f.outcome {
	case outcomeComplete:
		r.Complete++
		if feed {
			r.FeedsComplete++
		}
	case outcomeWrongService:
		r.WrongService++
	case outcomeRefused:
		r.Refused++
		if afterWarmUp {
			r.RefusedAfterWarmUp++
		}
	case outcomeAbandoned:
		r.Abandoned++
	case outcomeReset, outcomeTimedOut, outcomeUnresponsive, outcomeCorrupt:
		if feed {
			r.BrokenFeeds++
		}
	}
}

// audit adds the counts of the upstreams to r, and checks the outcomes against
// the requests that the upstreams ran.
func (c *Caller) audit(r *Report) {
	ran := map[string]int{}
	for _, n := range c.collectCounts(r) {
		for id, times := range n.Ran {
			ran[id] += times
		}
		r.Opened[n.Name] = n.Opened
		r.Overloads += n.Overloads
	}
	for _, times := range ran {
		if times > 1 {
			r.RanTwice++
		}
	}
	for _, f := range c.allFlows {
		if f.outcome == outcomeRefused && ran[f.id] > 0 {
			r.FalseRefusals++
		}
	}
}

// collectCounts reads the counts of all upstreams: over HTTP from running ones,
// from the counts files of stopped ones.
func (c *Caller) collectCounts(r *Report) []bvstandupstream.Counts {
	var l []bvstandupstream.Counts
	read := map[netip.AddrPort]bool{}
	add := func(n bvstandupstream.Counts) {
		read[n.Health] = true
		// An upstream that stops after the HTTP request is read again from
		// its file.
		if !slices.ContainsFunc(l, func(m bvstandupstream.Counts) bool { return m.Name == n.Name && m.StartedAt.Equal(n.StartedAt) }) {
			l = append(l, n)
		}
	}
	for _, a := range c.traffic.Upstreams {
		if n, err := ReadCounts(a); err == nil {
			add(n)
		}
	}
	files, _ := filepath.Glob(filepath.Join(c.options.CountsDir, "*.json"))
	for _, path := range files {
		var n bvstandupstream.Counts
		b, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(b, &n)
		}
		if err != nil {
			r.MissingCounts = append(r.MissingCounts, path)
			continue
		}
		add(n)
	}
	for _, a := range c.traffic.Upstreams {
		if !read[a] {
			r.MissingCounts = append(r.MissingCounts, a.String())
		}
	}
	return l
}

// ReadCounts reads an upstream's counts over HTTP.
func ReadCounts(health netip.AddrPort) (bvstandupstream.Counts, error) {
	var n bvstandupstream.Counts
	client := http.Client{Timeout: countsTimeout}
	resp, err := client.Get("http://" + health.String() + "/counts")
	if err != nil {
		return n, eris.Wrap(err, "bvstandcaller: request counts")
	}
	defer func() { _ = resp.Body.Close() }()
	return n, eris.Wrap(json.NewDecoder(resp.Body).Decode(&n), "bvstandcaller: decode counts")
}

func (c *Caller) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /zone", c.serveZone)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		// Fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(c.report(c.clock.Now()))
	})
	mux.HandleFunc("GET /reached", func(w http.ResponseWriter, r *http.Request) {
		whole, _ := strconv.Atoi(r.FormValue("whole"))
		feeds, _ := strconv.Atoi(r.FormValue("feeds"))
		if p := c.report(c.clock.Now()); p.Complete < whole || c.openFeeds() < feeds {
			http.Error(w, "not reached", http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (c *Caller) openFeeds() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, f := range c.flows {
		if f.verb == bvwire.VerbFeed && f.messages > 0 && f.outcome == outcomeOpen {
			n++
		}
	}
	return n
}

// serveZone records that the zone of the upstreams with the given health
// addresses is taken out of service or is back in service. The request may arrive
// later than the change, which balancers apply within milliseconds.
func (c *Caller) serveZone(w http.ResponseWriter, r *http.Request) {
	now := c.clock.Now()
	since := now
	if text := r.FormValue("since"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		since = time.UnixMilli(ms)
	}
	for _, text := range strings.Split(r.FormValue("health"), ",") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n, err := ReadCounts(a)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		c.mu.Lock()
		switch o := c.outages[n.Tunnel]; {
		case r.FormValue("state") == "out":
			c.takeOutOfService(n.Tunnel, since)
		case o != nil:
			o.to = now
		}
		c.mu.Unlock()
	}
}
