package bvtoken

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant over which requests count for an
	// upstream's load. It is several times the time a request takes, so that
	// the load of long flows, which send a request now and then, shows.
	loadMemory = 2 * time.Second
	// latencyMemory is the time constant after which a measured latency counts
	// for little. An upstream that was avoided for being slow is tried again.
	latencyMemory = 2 * time.Second
	// latencyWeight is the weight of one measurement in the mean.
	latencyWeight = 0.2
)

// load is what a balancer has measured of one upstream by its own requests.
type load struct {
	count   float64 // Exponentially decaying count of requests.
	at      time.Time
	open    int           // Requests that wait for an answer.
	opening int           // Openings that wait for an answer.
	latency time.Duration // Mean of the last requests; 0 if none was measured.
	seen    time.Time     // Time of the last measurement.
}

// requests returns the decaying count of requests.
func (l *load) requests(now time.Time) float64 {
	d := now.Sub(l.at)
	if l.count == 0 || d <= 0 {
		return l.count
	}
	return l.count * math.Exp(-d.Seconds()/loadMemory.Seconds())
}

func (l *load) add(now time.Time, n float64) {
	l.count, l.at = l.requests(now)+n, now
}

// measured adds the latency of an answered request.
func (l *load) measured(now time.Time, d time.Duration) {
	l.seen = now
	if l.latency == 0 {
		l.latency = d
		return
	}
	l.latency += time.Duration(latencyWeight * float64(d-l.latency))
}

// excess returns by how much the upstream's latency exceeds the usual one, as
// a part of that. Old measurements count less.
func (l *load) excess(now time.Time, usual time.Duration) float64 {
	if l.latency == 0 || usual == 0 {
		return 0
	}
	over := float64(l.latency)/float64(usual) - 1
	if over <= 0 {
		return 0
	}
	return over * math.Exp(-now.Sub(l.seen).Seconds()/latencyMemory.Seconds())
}
