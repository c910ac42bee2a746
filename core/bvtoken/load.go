package bvtoken

import (
	"math"
	"time"
)

// loadMemory is the time constant over which requests count for an upstream's
// load. It is several times the time a request takes, so that the load of
// long flows, which send a request now and then, shows.
const loadMemory = 2 * time.Second

// load is an exponentially decaying count of requests.
type load struct {
	count float64
	at    time.Time
}

func (l *load) value(now time.Time) float64 {
	d := now.Sub(l.at)
	if l.count == 0 || d <= 0 {
		return l.count
	}
	return l.count * math.Exp(-d.Seconds()/loadMemory.Seconds())
}

func (l *load) add(now time.Time, n float64) {
	l.count, l.at = l.value(now)+n, now
}
