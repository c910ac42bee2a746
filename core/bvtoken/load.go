package bvtoken

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant over which requests count towards an
	// upstream's load. It is several times the duration of a request, so that
	// it includes the load of long flows that send a request now and then.
	loadMemory = 2 * time.Second
	// latencyMemory is the time constant after which a measured latency counts
	// for little, so that an upstream that was avoided as slow is tried again.
	latencyMemory = 2 * time.Second
	// latencyWeight is the weight of one measurement in the mean.
	latencyWeight = 0.2
)

// decayOver returns the exponential decay over an age with a time constant.
func decayOver(age, memory time.Duration) float64 {
	return math.Exp(-age.Seconds() / memory.Seconds())
}

// load is the load of one upstream, measured from this balancer's requests.
type load struct {
	count      float64       // Exponentially decaying count of requests.
	countedAt  time.Time     // Time of the last update of count.
	open       int           // Requests that wait for an answer.
	opening    int           // Openings that wait for an answer.
	latency    time.Duration // Moving average; 0 if none was measured.
	measuredAt time.Time     // Time of the last latency measurement.
}

// requests returns the decaying count of requests.
func (l *load) requests(now time.Time) float64 {
	d := now.Sub(l.countedAt)
	if l.count == 0 || d <= 0 {
		return l.count
	}
	return l.count * decayOver(d, loadMemory)
}

func (l *load) add(now time.Time, n float64) {
	l.count, l.countedAt = l.requests(now)+n, now
}

// recordLatency adds the latency of a request to the mean.
func (l *load) recordLatency(now time.Time, d time.Duration) {
	l.measuredAt = now
	if l.latency == 0 {
		l.latency = d
		return
	}
	l.latency += time.Duration(latencyWeight * float64(d-l.latency))
}

// latencyExcess returns by how much the upstream's latency exceeds the mean of
// its service, as a fraction of that mean. Older measurements count less.
func (l *load) latencyExcess(now time.Time, mean time.Duration) float64 {
	if l.latency == 0 || mean == 0 {
		return 0
	}
	over := float64(l.latency)/float64(mean) - 1
	if over <= 0 {
		return 0
	}
	return over * decayOver(now.Sub(l.measuredAt), latencyMemory)
}
