// Package bvsync replicates exceptions and tombstones to the balancers that
// need them after the group has changed.
//
// A [Sweeper] scans the flow table after each change and sends records to
// nodes that newly entered a replica set, in batches under a byte budget.
// Unacknowledged batches are sent again. A leaving node uses the same sweep
// to push all of its records. The package does no I/O and reads no clock.
//
// # Usage
//
//	s := bvsync.New(router, bvsync.Options{BytesPerSecond: 2000})
//	for _, b := range s.Next(clock.Now()) {
//		// send b.Records to b.To; on success:
//		s.Acknowledge(b.To, b.Sequence)
//	}
//	if s.Complete() {
//		// all records have been acknowledged
//	}
package bvsync

import (
	"cmp"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"
)

// CallOverheadBytes is the size of a control call without its records: the
// headers of request and response, measured with the shared key at 600 to 630
// bytes.
const CallOverheadBytes = 630

// RecordBytes is the size of a record in a message: a key of 16 bytes and an
// upstream of 8.
const RecordBytes = 24

// Record is one exception or tombstone.
type Record struct {
	Key      bvflow.Key
	Kind     bvroute.RecordKind
	Upstream bvconfig.UpstreamID
}

// answerMaxSlots is the number of table slots scanned for one answer. The scan
// takes about a millisecond, and eight answers cover a table of 500,000 flows.
const answerMaxSlots = 1 << 16

// Batch holds records for one peer to store. Sequence numbers are unique within
// a Sweeper.
type Batch struct {
	To       bvconfig.NodeID
	Sequence uint64
	Records  []Record
}

// Source is the part of [bvroute.Router] that a Sweeper uses.
type Source interface {
	Generation() uint64
	Swept() uint64
	Handovers(now time.Time, cursor uint64, maxSlots int, into []bvroute.Handover) ([]bvroute.Handover, uint64, bool)
	HandoversTo(now time.Time, peer bvconfig.NodeID, cursor uint64, maxSlots, maxHandovers int, into []bvroute.Handover) ([]bvroute.Handover, uint64, bool)
	SweepDone(generation uint64)
}

// Options limit the traffic and the work of a Sweeper. Zero values select the
// defaults.
type Options struct {
	BytesPerSecond int           // Sending rate including headers; default 2,000, out of 3 KB/s for all control traffic.
	BatchBytes     int           // Maximum size of a batch's records; default 1,200, which fits one packet.
	SlotsPerCall   int           // Table slots scanned in one call of Next; default 8,192.
	RetryAfter     time.Duration // Delay before an unacknowledged batch is first sent again; default 3 s.
	MaxRetry       time.Duration // Maximum of the retry delay, which doubles each time; default 30 s.
}

func (o Options) withDefaults() Options {
	return Options{
		BytesPerSecond: cmp.Or(o.BytesPerSecond, 2000), BatchBytes: cmp.Or(o.BatchBytes, 1200),
		SlotsPerCall: cmp.Or(o.SlotsPerCall, 8192), RetryAfter: cmp.Or(o.RetryAfter, 3*time.Second),
		MaxRetry: cmp.Or(o.MaxRetry, 30*time.Second),
	}
}

// Sweeper sends records to the nodes that need them. It is not safe for
// concurrent use.
type Sweeper struct {
	source  Source
	options Options

	generation uint64 // The generation of the group that the sweep is for.
	running    bool
	cursor     uint64
	scanned    bool // The scan has reached the end of the table.
	queue      map[bvconfig.NodeID][]Record
	handovers  []bvroute.Handover
	inFlight   []inFlight
	sequence   uint64

	budget     float64 // Bytes that may be sent; negative after a batch.
	refilledAt time.Time
}

// inFlight is an unacknowledged batch.
type inFlight struct {
	Batch
	due   time.Time
	retry time.Duration
}

// New returns a Sweeper that reads from source.
func New(source Source, o Options) *Sweeper {
	return &Sweeper{
		source: source, options: o.withDefaults(), queue: map[bvconfig.NodeID][]Record{},
		generation: source.Generation(),
	}
}

// Complete reports whether every node has acknowledged the records it needs.
func (s *Sweeper) Complete() bool {
	return !s.running && s.source.Swept() == s.source.Generation()
}

// Unacknowledged returns the number of records that the scan has queued for
// other nodes and that are not acknowledged.
func (s *Sweeper) Unacknowledged() int {
	n := 0
	for _, q := range s.queue {
		n += len(q)
	}
	for _, b := range s.inFlight {
		n += len(b.Records)
	}
	return n
}

// Next returns the batches to send now, under the byte budget. It must be
// called at least once a second.
func (s *Sweeper) Next(now time.Time) []Batch {
	s.restartIfChanged()
	s.refill(now)
	out := s.retries(now)
	for s.running && s.budget > 0 {
		b, ok := s.nextBatch()
		if !ok {
			break
		}
		s.budget -= float64(len(b.Records)*RecordBytes + CallOverheadBytes)
		s.inFlight = append(s.inFlight, inFlight{b, now.Add(s.options.RetryAfter), s.options.RetryAfter})
		out = append(out, b)
	}
	s.scan(now)
	s.finish()
	return out
}

// restartIfChanged starts a sweep if the group has changed. A running sweep
// starts over; the source still compares with the last completed one.
func (s *Sweeper) restartIfChanged() {
	g := s.source.Generation()
	if g == s.generation && (s.running || g == s.source.Swept()) {
		return
	}
	s.generation, s.running, s.cursor, s.scanned = g, true, 0, false
	clear(s.queue)
	s.inFlight = nil
}

func (s *Sweeper) refill(now time.Time) {
	if !s.refilledAt.IsZero() {
		s.budget += now.Sub(s.refilledAt).Seconds() * float64(s.options.BytesPerSecond)
	}
	s.refilledAt = now
	s.budget = min(s.budget, float64(max(s.options.BytesPerSecond, s.options.BatchBytes+CallOverheadBytes)))
}

// retries returns the batches whose acknowledgement is overdue, within the
// budget, and doubles their retry delay.
func (s *Sweeper) retries(now time.Time) (out []Batch) {
	for i := range s.inFlight {
		f := &s.inFlight[i]
		if now.Before(f.due) || s.budget <= 0 {
			continue
		}
		f.retry = min(2*f.retry, s.options.MaxRetry)
		f.due = now.Add(f.retry)
		s.budget -= float64(len(f.Records)*RecordBytes + CallOverheadBytes)
		out = append(out, f.Batch)
	}
	return out
}

// nextBatch removes a batch from the longest queue; ties go to the lowest
// node ID, so that runs are reproducible.
func (s *Sweeper) nextBatch() (Batch, bool) {
	var to bvconfig.NodeID
	for n, q := range s.queue {
		if l := len(s.queue[to]); len(q) > l || len(q) == l && n < to {
			to = n
		}
	}
	q := s.queue[to]
	if len(q) == 0 {
		return Batch{}, false
	}
	n := min(len(q), max(s.options.BatchBytes/RecordBytes, 1))
	s.sequence++
	b := Batch{To: to, Sequence: s.sequence, Records: slices.Clone(q[:n])}
	if s.queue[to] = q[n:]; len(q) == n {
		delete(s.queue, to)
	}
	return b, true
}

// scan continues the scan of the table. It pauses while the unacknowledged
// records exceed the budget of two seconds, so that the queue stays small.
func (s *Sweeper) scan(now time.Time) {
	maxUnacknowledged := 2 * s.options.BytesPerSecond / RecordBytes
	for slotsLeft := s.options.SlotsPerCall; s.running && !s.scanned && slotsLeft > 0 && s.Unacknowledged() <= maxUnacknowledged; {
		step := min(slotsLeft, 256)
		slotsLeft -= step
		s.handovers, s.cursor, s.scanned = s.source.Handovers(now, s.cursor, step, s.handovers[:0])
		for _, h := range s.handovers {
			for _, to := range h.To[:h.Count] {
				s.queue[to] = append(s.queue[to], Record{h.Key, h.Kind, h.Upstream})
			}
		}
	}
}

func (s *Sweeper) finish() {
	if s.running && s.scanned && s.Unacknowledged() == 0 && s.generation == s.source.Generation() {
		s.running = false
		s.source.SweepDone(s.generation)
	}
}

// Acknowledge records that a node has stored a batch.
func (s *Sweeper) Acknowledge(from bvconfig.NodeID, sequence uint64) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlight) bool {
		return f.To == from && f.Sequence == sequence
	})
	s.finish()
}

// Answer returns the records for a joining peer from cursor on, in at most the
// given number of bytes. next is the cursor of the following request; done
// reports whether this is the last answer.
func (s *Sweeper) Answer(now time.Time, peer bvconfig.NodeID, cursor uint64, bytes int) (records []Record, next uint64, done bool) {
	found, next, done := s.source.HandoversTo(now, peer, cursor, answerMaxSlots, max(bytes/RecordBytes, 1), nil)
	for _, h := range found {
		records = append(records, Record{h.Key, h.Kind, h.Upstream})
	}
	return records, next, done
}
