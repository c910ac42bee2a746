package bvadmit

import "time"

const (
	// startSlots times window is the longest wait that is kept apart, 3.2 s.
	// Requests that wait longer are counted together.
	startSlots = 128
	// window is the time over which events are collected before the estimates
	// are updated.
	window = 25 * time.Millisecond
	// maxLookBack limits how far since looks back if few requests started recently.
	maxLookBack = time.Second
)

// waiting counts requests by the window of their start. The counts show that latency
// rises before the first late answer arrives, and also if no answers arrive.
type waiting struct {
	current int64 // Index of the newest window.
	slots   [startSlots]startSlot
	total   int // Waiting requests.
	older   int // Waiting requests from before the windows.
}

// startSlot counts the requests that started in one window.
type startSlot struct {
	started, waiting int
}

func (w *waiting) slot(i int64) *startSlot { return &w.slots[i%startSlots] }

// advance makes room for the windows up to a time.
func (w *waiting) advance(at time.Duration) {
	i := int64(at / window)
	if i-w.current > startSlots {
		w.current = max(w.current, i-startSlots)
		for j := range w.slots {
			w.older += w.slots[j].waiting
			w.slots[j] = startSlot{}
		}
	}
	for w.current < i {
		w.current++
		s := w.slot(w.current)
		w.older += s.waiting
		*s = startSlot{}
	}
}

func (w *waiting) add(at time.Duration) {
	s := w.slot(max(int64(at/window), w.current))
	s.started++
	s.waiting++
	w.total++
}

// remove removes a request that started at a time. A latency may be measured
// from another moment than the start, so the nearest window with a waiting
// request is used; the sum then always equals the requests in flight.
// Only an answered request still counts as started: others end without showing a
// latency, and quick rejections would hide that the rest waits.
func (w *waiting) remove(start time.Duration, answered bool) {
	w.total--
	oldest := max(w.current-startSlots+1, 0)
	i := min(int64(start/window), w.current)
	if start < 0 || i < oldest {
		if w.older > 0 {
			w.older--
			return
		}
		i = oldest
	}
	for d := range int64(startSlots) {
		if i-d >= oldest && w.take(i-d, answered) || i+d <= w.current && w.take(i+d, answered) {
			return
		}
	}
	if w.older > 0 {
		w.older--
	}
}

func (w *waiting) take(i int64, answered bool) bool {
	s := w.slot(i)
	if s.waiting == 0 {
		return false
	}
	s.waiting--
	if !answered {
		s.started--
	}
	return true
}

// since returns how many requests started between the ages from and from+span,
// and how many of them still wait. If fewer than least started, it looks back
// further, at most maxLookBack in total.
func (w *waiting) since(from, span time.Duration, least int) (started, waiting int) {
	newest := w.current - int64((from+window-1)/window)
	spanEnd := newest - int64(span/window)
	oldest := max(newest-int64(max(maxLookBack, span)/window), w.current-startSlots+1, 0)
	for i := newest; i >= oldest && (i >= spanEnd || started < least); i-- {
		s := w.slot(i)
		started += s.started
		waiting += s.waiting
	}
	return started, waiting
}

// oldestAge returns the age of the oldest waiting request, at most the span of
// the windows; 0 if nothing waits.
func (w *waiting) oldestAge(at time.Duration) time.Duration {
	if w.older > 0 {
		return startSlots * window
	}
	for i := max(w.current-startSlots+1, 0); i <= w.current; i++ {
		if w.slot(i).waiting > 0 {
			return at - time.Duration(i)*window
		}
	}
	return 0
}
