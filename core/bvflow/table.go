package bvflow

import (
	"encoding/binary"
	"errors"
	"time"
)

// ErrTableFull is returned when a table holds its maximum of entries.
var ErrTableFull = errors.New("bvflow: table full")

// State is the stage of a flow.
type State uint8

// The states.
const (
	StateOpening     State = iota // Only opening packets have been seen.
	StateEstablished              // A later packet has been seen.
	StateClosing                  // The caller has sent a FIN; it may still receive.
	StateClosed                   // The caller has sent a RST.
	StateRefused                  // Tombstone: the opening was refused and must not be sent to an upstream.
)

// Flags describe the origin and the use of an entry.
type Flags uint8

// The flags.
const (
	FlagOwner         Flags = 1 << iota // This balancer decides on the flow; otherwise the entry is a replica's record.
	FlagException                       // The upstream differs from a base pick, so the entry is replicated.
	FlagCounted                         // Counts as an open flow of its upstream.
	FlagAdopted                         // Created from the base pick by a packet in the middle of the flow.
	FlagDatagram                        // UDP.
	FlagInvalidated                     // The upstream's zone went out of service and returned; only retransmitted openings with a request use the entry.
	FlagRetransmitted                   // The opening was retransmitted, so an answer may belong to any of its copies.
)

// Entry is a balancer's record of a flow. Exported times are in seconds since
// the table's epoch.
type Entry struct {
	Key          Key
	Upstream     uint64 // A bvconfig.UpstreamID, which this package can't import.
	LastSeen     uint32 // Time of the last packet.
	ReplicatedAt uint32 // Time at which the entry last passed through its replica set; 0 if never.
	openingSent  uint32 // Milliseconds since the epoch at which the last opening was sent; 0 if unknown.
	next         uint32 // 1 + the slot of the next entry of the bucket, or of the next free slot.
	State        State
	Flags        Flags
	used         bool
}

// Has reports whether all the given flags are set.
func (e *Entry) Has(f Flags) bool { return e.Flags&f == f }

// Lifetimes are the times after which entries without packets expire. For
// replicas' records and for closed exceptions see [Table.Lifetime].
type Lifetimes struct {
	Opening time.Duration // StateOpening and StateRefused.
	Idle    time.Duration // StateEstablished and all exceptions.
	Closing time.Duration // StateClosing, StateClosed.
}

// DefaultLifetimes covers a caller's retransmissions of an opening packet
// (1+2+4+8+16+32 s = 63 s) and the longest idle time of a feed. Closing
// may be short, because the flow of an expired entry falls back to its base
// pick.
var DefaultLifetimes = Lifetimes{Opening: 65 * time.Second, Idle: 2 * time.Hour, Closing: time.Minute}

const (
	chunkBits   = 10 // Entries are allocated 1,024 at a time, buckets likewise.
	chunkSize   = 1 << chunkBits
	chunkMask   = chunkSize - 1
	initialSize = chunkSize
)

// Table holds the entries of a balancer, at most 53 bytes for each when it is
// large. Entries never move, so that a sweep by slot misses none, and a
// pointer to an entry stays valid until its deletion. Buckets grow one at a
// time by linear hashing (Litwin, 1980), so that no insertion pauses to
// rehash. A Table is not safe for concurrent use.
type Table struct {
	epoch        time.Time
	lifetimes    Lifetimes
	max          int
	length       int
	chunks       []*[chunkSize]Entry
	slots        uint32               // Slots in use or free.
	free         uint32               // 1 + the first free slot; 0 if none.
	heads        []*[chunkSize]uint32 // 1 + the slot of each bucket's first entry; 0 if none.
	size         uint32               // Buckets at the start of the current doubling.
	split        uint32               // Buckets already split in the current doubling.
	expireCursor uint32               // Next slot that Expire examines.
}

// NewTable returns a table for at most limit entries. epoch must not be later
// than any time that is passed to the table.
func NewTable(limit int, epoch time.Time, l Lifetimes) *Table {
	return &Table{
		epoch: epoch, lifetimes: l, max: limit, size: initialSize,
		heads: []*[chunkSize]uint32{new([chunkSize]uint32)},
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.length }

// Max returns the greatest possible number of entries.
func (t *Table) Max() int { return t.max }

// Full reports whether an insertion would fail.
func (t *Table) Full() bool { return t.length >= t.max }

// UnderPressure reports whether the table is more than half full.
func (t *Table) UnderPressure() bool { return t.length > t.max/2 }

// Seconds converts a time to seconds since the table's epoch.
func (t *Table) Seconds(now time.Time) uint32 {
	return uint32(max(now.Sub(t.epoch), 0) / time.Second)
}

func (t *Table) head(k *Key) *uint32 {
	h := uint32(binary.BigEndian.Uint64(k[8:]))
	b := h & (t.size - 1)
	if b < t.split {
		b = h & (2*t.size - 1)
	}
	return &t.heads[b>>chunkBits][b&chunkMask]
}

func (t *Table) slot(i uint32) *Entry { return &t.chunks[i>>chunkBits][i&chunkMask] }

// Lookup returns the entry for k, or nil.
func (t *Table) Lookup(k Key) *Entry {
	for i := *t.head(&k); i != 0; {
		e := t.slot(i - 1)
		if e.Key == k {
			return e
		}
		i = e.next
	}
	return nil
}

// Touch records the time of a packet of the entry's flow.
func (t *Table) Touch(now time.Time, e *Entry) { e.LastSeen = t.Seconds(now) }

// SetOpeningSent records that the last opening of the entry's flow was sent by
// now. The zero time stands for an opening that was not sent yet.
func (t *Table) SetOpeningSent(now time.Time, e *Entry) {
	e.openingSent = 0
	if !now.IsZero() {
		e.openingSent = max(uint32(t.milliseconds(now)), 1)
	}
}

// OpeningSent returns the time that [Table.SetOpeningSent] recorded within the 49
// days before now, in milliseconds. It is zero if there is none.
func (t *Table) OpeningSent(now time.Time, e *Entry) time.Time {
	if e.openingSent == 0 {
		return time.Time{}
	}
	elapsed := t.milliseconds(now)
	age := uint32(elapsed) - e.openingSent // The stored time wraps around.
	return t.epoch.Add(time.Duration(elapsed-int64(age)) * time.Millisecond)
}

// milliseconds converts a time to milliseconds since the table's epoch.
func (t *Table) milliseconds(now time.Time) int64 { return max(now.Sub(t.epoch), 0).Milliseconds() }

// Insert adds an entry for k with LastSeen set to now, or returns the existing
// one unchanged. It returns [ErrTableFull] if the table is full.
func (t *Table) Insert(now time.Time, k Key) (*Entry, error) {
	if e := t.Lookup(k); e != nil {
		return e, nil
	}
	if t.Full() {
		return nil, ErrTableFull
	}
	i := t.free
	if i == 0 {
		if int(t.slots>>chunkBits) == len(t.chunks) {
			t.chunks = append(t.chunks, new([chunkSize]Entry))
		}
		t.slots++
		i = t.slots
	} else {
		t.free = t.slot(i - 1).next
	}
	t.length++
	if uint32(t.length) > t.size+t.split {
		t.splitBucket()
	}
	h := t.head(&k)
	e := t.slot(i - 1)
	*e = Entry{Key: k, LastSeen: t.Seconds(now), next: *h, used: true}
	*h = i
	return e, nil
}

// splitBucket distributes the entries of the next bucket over it and a new one.
func (t *Table) splitBucket() {
	if b := t.size + t.split; int(b>>chunkBits) == len(t.heads) {
		t.heads = append(t.heads, new([chunkSize]uint32))
	}
	h := &t.heads[t.split>>chunkBits][t.split&chunkMask]
	i := *h
	*h = 0
	t.split++
	for i != 0 {
		e := t.slot(i - 1)
		next := e.next
		n := t.head(&e.Key)
		e.next, *n = *n, i
		i = next
	}
	if t.split == t.size {
		t.size, t.split = 2*t.size, 0
	}
}

// Delete removes the entry for k, if there is one.
func (t *Table) Delete(k Key) {
	p := t.head(&k)
	for *p != 0 {
		i := *p
		e := t.slot(i - 1)
		if e.Key == k {
			*p = e.next
			*e = Entry{next: t.free}
			t.free = i
			t.length--
			return
		}
		p = &e.next
	}
}

// Lifetime returns how long e is kept after its last packet. Exceptions are
// kept for the idle time even when closed: a flow that its caller has closed
// may still wait for a response, and its base pick leads to another upstream.
// Under pressure, closed exceptions expire first. A replica's record is kept a
// quarter longer, because the flow's owner renews it only once in a quarter of
// the idle time.
func (t *Table) Lifetime(e *Entry) time.Duration {
	switch {
	case e.State == StateRefused:
		return t.lifetimes.Opening
	case e.State >= StateClosing && e.Has(FlagException) && t.UnderPressure():
		return 2 * t.lifetimes.Closing
	case !e.Has(FlagOwner):
		return t.lifetimes.Idle + t.lifetimes.Idle/4
	case e.Has(FlagException):
		return t.lifetimes.Idle
	case e.State == StateOpening:
		return t.lifetimes.Opening
	case e.State == StateEstablished:
		return t.lifetimes.Idle
	default:
		return t.lifetimes.Closing
	}
}

// Expired reports whether e has outlived its lifetime at the given number of
// seconds since the epoch.
func (t *Table) Expired(seconds uint32, e *Entry) bool {
	age := time.Duration(int64(seconds)-int64(e.LastSeen)) * time.Second
	return age > t.Lifetime(e)
}

// Expire examines the next maxSlots slots and deletes expired entries, calling
// onExpire before each deletion. Successive calls wrap around the table.
func (t *Table) Expire(now time.Time, maxSlots int, onExpire func(*Entry)) {
	seconds := t.Seconds(now)
	for range min(maxSlots, int(t.slots)) {
		if t.expireCursor >= t.slots {
			t.expireCursor = 0
		}
		e := t.slot(t.expireCursor)
		t.expireCursor++
		if e.used && t.Expired(seconds, e) {
			if onExpire != nil {
				onExpire(e)
			}
			t.Delete(e.Key)
		}
	}
}

// Range visits the entries of up to maxSlots slots from cursor on, until visit
// returns false. It returns the cursor of the next call; done reports whether
// the end has been reached. An entry that exists during a whole series of calls,
// starting with cursor 0, is visited. visit may change or delete the entry.
func (t *Table) Range(cursor uint64, maxSlots int, visit func(*Entry) bool) (next uint64, done bool) {
	for ; maxSlots > 0 && cursor < uint64(t.slots); maxSlots-- {
		e := t.slot(uint32(cursor))
		cursor++
		if e.used && !visit(e) {
			break
		}
	}
	return cursor, cursor >= uint64(t.slots)
}

var stateNames = [...]string{"opening", "established", "closing", "closed", "refused"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}
