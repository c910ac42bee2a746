package bvtoken

import "time"

const (
	// handshakeWeight is the weight of one measurement in the mean.
	handshakeWeight = 0.1
	// handshakeFactor times the mean is the handshake timeout, within the
	// bounds below.
	handshakeFactor = 4
	// minHandshakeTimeout allows for upstreams that are several times farther
	// away than the mean, and for short pauses of this process.
	minHandshakeTimeout = 40 * time.Millisecond
	// maxHandshakeTimeout bounds the effect of distant callers and late packets.
	maxHandshakeTimeout = 600 * time.Millisecond
	// firstHandshakeTimeout applies until a handshake was measured. It is less
	// than the time after which callers retransmit an opening.
	firstHandshakeTimeout = 150 * time.Millisecond
)

// handshakeTime is the mean time from an opening to the next packet of its
// caller. It is usually much shorter than the caller's retransmission timeout. A
// caller whose opening was reset does not retransmit it but uses another port. So
// an opening without a next packet counts as unanswered well before that timeout.
type handshakeTime struct{ mean time.Duration }

func (h *handshakeTime) record(d time.Duration) {
	d = min(d, maxHandshakeTimeout)
	if h.mean == 0 {
		h.mean = d
		return
	}
	h.mean += time.Duration(handshakeWeight * float64(d-h.mean))
}

// timeout returns the time after which an opening counts as unanswered.
func (h *handshakeTime) timeout() time.Duration {
	if h.mean == 0 {
		return firstHandshakeTimeout
	}
	return min(max(handshakeFactor*h.mean, minHandshakeTimeout), maxHandshakeTimeout)
}
