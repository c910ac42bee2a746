package bvtoken

import "time"

const (
	// handshakeWeight is the weight of one measurement in the mean.
	handshakeWeight = 0.1
	// handshakeFactor times the mean is the timeout of a handshake, within the
	// bounds below.
	handshakeFactor = 4
	// minHandshakeTimeout covers upstreams that are several times farther than
	// the usual one, and short pauses of this process.
	minHandshakeTimeout = 40 * time.Millisecond
	// maxHandshakeTimeout bounds what callers far away and late packets add.
	maxHandshakeTimeout = 600 * time.Millisecond
	// firstHandshakeTimeout holds until a handshake was measured. It is less
	// than the time after which callers repeat an opening.
	firstHandshakeTimeout = 150 * time.Millisecond
)

// handshake is the mean time from an opening to the next packet of its caller.
// It is usually much shorter than the time after which a caller repeats its
// opening, and a caller whose opening was reset does not repeat it but uses another
// port. So an opening without a next packet counts as unanswered well before.
type handshake struct{ mean time.Duration }

func (h *handshake) measured(d time.Duration) {
	d = min(d, maxHandshakeTimeout)
	if h.mean == 0 {
		h.mean = d
		return
	}
	h.mean += time.Duration(handshakeWeight * float64(d-h.mean))
}

// timeout returns the time after which an opening counts as unanswered.
func (h *handshake) timeout() time.Duration {
	if h.mean == 0 {
		return firstHandshakeTimeout
	}
	return min(max(handshakeFactor*h.mean, minHandshakeTimeout), maxHandshakeTimeout)
}
