package bvtoken

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
)

const (
	// shortFraction times the usual length is the length below which a response counts
	// as a rejection.
	shortFraction = 0.2
	// lengthRise and lengthFall are the weights of a response above and below the usual
	// length. They differ so that the usual length stays near that of full responses
	// when it is learned while most responses are rejections. They apply to logarithms, so
	// that a few very long responses do not make the others look short.
	lengthRise = 0.1
	lengthFall = 0.025
	// minLengths is the number of responses from which the usual length is known.
	minLengths = 16
	// The usual length is learned anew after relearnRun consecutive short responses over
	// relearnAfter: even upstreams that reject most requests answer some.
	relearnRun   = 50
	relearnAfter = 15 * time.Second
	// sampleEvery is the number of responses of which one is measured to its end. It applies
	// once the usual length is known, to responses that the first acknowledgement shows not
	// to be short.
	sampleEvery = 8
	// maxLength is the length in bytes above which two acknowledgement numbers belong to
	// different flows from a reused port.
	maxLength = 1 << 26
)

// routeResponses is what is known of the requests of a route.
type routeResponses struct {
	bvcatalog.RequestPolicy
	address    netip.AddrPort // Invalid if the catalog has no such route.
	generation uint64         // The router's generation when RequestPolicy was read.
	logLength  float64        // Mean logarithm of the lengths of responses in bytes.
	shortBelow float64        // Length in bytes below which a response is short.
	learned    int            // Number of lengths learned, up to minLengths.
	shortRun   int            // Consecutive short responses.
	unsampled  int            // Responses since the last one that was measured to its end.
	shortSince time.Time      // Time of the first response of shortRun.
}

// short reports whether a response of n bytes is far shorter than usual. Until the usual
// length is known, no response is.
func (s *routeResponses) short(n uint32) bool {
	return n <= 1 || s.learned >= minLengths && float64(n) < s.shortBelow
}

// skips reports whether a response whose first acknowledgement is of n bytes need not be
// measured to its end.
func (s *routeResponses) skips(n uint32) bool {
	if !s.address.IsValid() {
		return true
	}
	if s.learned < minLengths || s.short(n) {
		return false
	}
	s.shortRun = 0
	s.unsampled = (s.unsampled + 1) % sampleEvery
	return s.unsampled != 0
}

// record learns from the length of a complete response. Short responses do not lower
// the usual length, unless there are no others for some time.
func (s *routeResponses) record(now time.Time, n uint32) {
	if !s.address.IsValid() || n <= 1 || n > maxLength {
		return
	}
	if !s.short(n) {
		s.shortRun = 0
		s.learn(float64(n))
		return
	}
	if s.shortRun == 0 {
		s.shortSince = now
	}
	s.shortRun++
	if s.shortRun >= relearnRun && now.Sub(s.shortSince) >= relearnAfter {
		s.shortRun, s.learned = 0, 0
		s.learn(float64(n))
	}
}

func (s *routeResponses) learn(n float64) {
	w, x := lengthFall, math.Log(n)
	switch {
	case s.learned == 0:
		w = 1
	case x > s.logLength:
		w = lengthRise
	}
	s.logLength += w * (x - s.logLength)
	s.shortBelow = shortFraction * math.Exp(s.logLength)
	s.learned = min(s.learned+1, minLengths)
}

// routeOf returns what is known of the requests to an address. Routes that the catalog
// lacks share one entry.
func (r *Router) routeOf(a netip.AddrPort) *routeResponses {
	s := r.routes[a]
	if s != nil && s.generation == r.generation {
		return s
	}
	route, ok := r.catalog.Route(a)
	if !ok {
		return r.noRoute
	}
	if s == nil {
		r.expireRoutes()
		s = &routeResponses{address: a}
		r.routes[a] = s
	}
	s.RequestPolicy, s.generation = route.RequestPolicy, r.generation
	return s
}

// expireRoutes removes the routes that the catalog no longer has once they may be many.
func (r *Router) expireRoutes() {
	if len(r.routes) <= r.catalog.NumRoutes() {
		return
	}
	maps.DeleteFunc(r.routes, func(a netip.AddrPort, _ *routeResponses) bool {
		_, ok := r.catalog.Route(a)
		return !ok
	})
}
