// Package bvstandplatform stands in for the platform's configuration service.
// It serves the files of a directory. The key of a value is the file's
// relative path; its revision increases whenever the content changes.
//
// # Usage
//
//	p := bvstandplatform.New(options, clockwork.NewRealClock())
//	err := p.Run(ctx)
//
// Values: GET /v1/values/{key}?afterRevision=N&afterEra=E&waitSeconds=S answers with
// the value and the header Platform-Revision if the revision is higher than N, with
// 304 if it is not after S seconds, and with 404 for an unknown key. The header
// Platform-Era in all answers counts how often the values were restored from a copy.
// If E is given and is another era, the answer comes at once.
//
// Control, on a separate port: POST /mode?mode=M with M normal, stale (serves
// the values as they were when the mode was set), slow (each answer is
// delayed), silent (connections stay open without an answer) or absent
// (connections are closed); POST /copy keeps a copy of the values; POST /restore
// returns to it, begins a new era and ends all waits; GET /counts. Values of which
// the directory has a newer content are then published again, with revisions that
// were given out before.
package bvstandplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	pollInterval   = 50 * time.Millisecond
	maxWaitSeconds = 60
)

// The headers with the revision of a value, and with the era of all revisions.
const (
	revisionHeader = "Platform-Revision"
	eraHeader      = "Platform-Era"
)

// Modes of the platform.
const (
	ModeNormal = "normal"
	ModeStale  = "stale"
	ModeSlow   = "slow"
	ModeSilent = "silent"
	ModeAbsent = "absent"
)

// Options configure a [Platform].
type Options struct {
	Directory string
	Listen    netip.AddrPort // Serves the values.
	Control   netip.AddrPort // Serves /mode and /counts.
	Delay     time.Duration  // Delay of each answer in mode slow.
}

// Counts is the content of /counts. A watch counts as one call.
type Counts struct {
	Mode  string         `json:"mode"`
	Calls uint64         `json:"calls"`
	ByKey map[string]int `json:"byKey"`
	// Waiting is the number of calls that are not answered yet.
	Waiting int `json:"waiting"`
}

type value struct {
	revision uint64
	content  []byte
}

// Platform is a running stand-in.
type Platform struct {
	options Options
	clock   clockwork.Clock

	mu          sync.Mutex
	counts      Counts
	values      map[string]value
	staleValues map[string]value // Served in mode stale.
	saved       map[string]value // The copy for a restore; nil if there is none.
	era         uint64           // Counts restores, from 1.
	changed     chan struct{}    // Closed and replaced when a value or the mode changes.
}

// New returns a platform in mode normal; Run reads the directory.
func New(o Options, clock clockwork.Clock) *Platform {
	return &Platform{
		options: o, clock: clock, era: 1, values: map[string]value{}, changed: make(chan struct{}),
		counts: Counts{Mode: ModeNormal, ByKey: map[string]int{}},
	}
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	if err := p.poll(); err != nil {
		return err
	}
	var wg conc.WaitGroup
	for a, h := range map[netip.AddrPort]http.Handler{p.options.Listen: p.Values(), p.options.Control: p.Control()} {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			return eris.Wrap(err, "bvstandplatform: listen")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
		wg.Go(func() { _ = s.Serve(l) })
		defer func() { _ = s.Close() }()
	}
	ticker := p.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			// An error means that a file was removed during the walk; the
			// next poll reads the directory again.
			_ = p.poll()
		}
	}
}

// poll reads the directory and increments the revision of changed values.
func (p *Platform) poll() error {
	found := map[string][]byte{}
	err := filepath.WalkDir(p.options.Directory, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		key, err := filepath.Rel(p.options.Directory, path)
		if err != nil {
			return err
		}
		found[filepath.ToSlash(key)], err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return eris.Wrap(err, "bvstandplatform: read the directory")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for key, content := range found {
		if v, ok := p.values[key]; !ok || !bytes.Equal(v.content, content) {
			p.values[key] = value{revision: v.revision + 1, content: content}
			changed = true
		}
	}
	if changed {
		p.notifyWaiters()
	}
	return nil
}

func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Values returns the handler that serves the values.
func (p *Platform) Values() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	return mux
}

// Control returns the handler of the control port.
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /mode", func(w http.ResponseWriter, r *http.Request) {
		if !p.setMode(r.FormValue("mode")) {
			http.Error(w, "unknown mode", http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { p.save() })
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, _ *http.Request) {
		if !p.restore() {
			http.Error(w, "there is no copy", http.StatusConflict)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		// Fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(p.counts)
	})
	return mux
}

func (p *Platform) setMode(mode string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch mode {
	case ModeStale:
		p.staleValues = maps.Clone(p.values)
	case ModeNormal, ModeSlow, ModeSilent, ModeAbsent:
	default:
		return false
	}
	p.counts.Mode = mode
	p.notifyWaiters()
	return true
}

// save keeps a copy of the values.
func (p *Platform) save() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = maps.Clone(p.values)
}

// restore returns to the copy and begins a new era. It reports whether there is a
// copy.
func (p *Platform) restore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved == nil {
		return false
	}
	p.values = maps.Clone(p.saved)
	p.era++
	p.notifyWaiters()
	return true
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseUint(r.FormValue("afterRevision"), 10, 64)
	seconds, _ := strconv.Atoi(r.FormValue("waitSeconds"))
	p.mu.Lock()
	p.counts.Calls++
	p.counts.ByKey[key]++
	p.counts.Waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.counts.Waiting--
		p.mu.Unlock()
	}()
	timeout := p.clock.After(time.Duration(min(seconds, maxWaitSeconds)) * time.Second)
	for {
		p.mu.Lock()
		mode, changed, era := p.counts.Mode, p.changed, p.era
		values := p.values
		if mode == ModeStale {
			values = p.staleValues
		}
		v, ok := values[key]
		p.mu.Unlock()
		w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		switch {
		case mode == ModeAbsent:
			panic(http.ErrAbortHandler) // net/http closes the connection.
		case mode == ModeSilent:
			// The connection gets no answer, even if the mode changes.
			<-r.Context().Done()
			return
		case !ok:
			http.NotFound(w, r)
			return
		case v.revision > after:
			p.writeValue(w, mode, v)
			return
		case r.FormValue("afterEra") != "" && r.FormValue("afterEra") != strconv.FormatUint(era, 10):
			writeNotModified(w, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeNotModified(w, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeNotModified(w http.ResponseWriter, v value) {
	w.Header().Set(revisionHeader, strconv.FormatUint(v.revision, 10))
	w.WriteHeader(http.StatusNotModified)
}

func (p *Platform) writeValue(w http.ResponseWriter, mode string, v value) {
	if mode == ModeSlow {
		p.clock.Sleep(p.options.Delay)
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(v.revision, 10))
	// Fails only if the client has disconnected.
	_, _ = w.Write(v.content)
}
