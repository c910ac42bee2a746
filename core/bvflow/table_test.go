package bvflow

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func tableKey(i int) Key {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	return Key(xxh3.Hash128(b[:]).Bytes())
}

// TestTableModel guards against lost, duplicated or mixed-up entries: under
// random insertions and deletions the table must behave like a map.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, model := NewTable(4000, epoch, DefaultLifetimes), map[Key]uint64{}
		for range rapid.IntRange(1, 20).Draw(rt, "rounds") {
			from := rapid.IntRange(0, 4500).Draw(rt, "from")
			n := rapid.IntRange(0, 2500).Draw(rt, "n")
			insert := rapid.Bool().Draw(rt, "insert")
			for i := from; i < from+n; i++ {
				k := tableKey(i)
				if !insert {
					table.Delete(k)
					delete(model, k)
				} else if e, err := table.Insert(epoch, k); err == nil {
					e.Upstream = uint64(i)
					model[k] = uint64(i)
				} else {
					require.Len(rt, model, 4000)
				}
			}
			require.Equal(rt, len(model), table.Len())
		}
		seen := map[Key]uint64{}
		table.Range(0, 1<<20, func(e *Entry) bool { seen[e.Key] = e.Upstream; return true })
		require.Equal(rt, model, seen)
		for k, v := range model {
			require.Equal(rt, v, table.Lookup(k).Upstream)
		}
	})
}

// TestTableRangeMissesNone guards against a sweep that misses an entry
// because the table changed between two calls.
func TestTableRangeMissesNone(t *testing.T) {
	table := NewTable(100_000, epoch, DefaultLifetimes)
	for i := range 5000 {
		_, err := table.Insert(epoch, tableKey(i))
		require.NoError(t, err)
	}
	seen := map[Key]bool{}
	cursor, done := uint64(0), false
	for i := 0; !done; i++ {
		cursor, done = table.Range(cursor, 100, func(e *Entry) bool { seen[e.Key] = true; return true })
		if i < 50 {
			table.Delete(tableKey(4000 + 20*i))
			for j := range 500 {
				_, err := table.Insert(epoch, tableKey(10000+i*500+j))
				require.NoError(t, err)
			}
		}
	}
	for i := range 4000 {
		assert.True(t, seen[tableKey(i)])
	}
}

// TestTableExpiry guards against entries that expire too early or never.
func TestTableExpiry(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		flags Flags
		want  time.Duration
	}{
		"opening":          {StateOpening, FlagOwner, 65 * time.Second},
		"established":      {StateEstablished, FlagOwner, 2 * time.Hour},
		"closing":          {StateClosing, FlagOwner, time.Minute},
		"closed exception": {StateClosed, FlagOwner | FlagException, 2 * time.Hour},
		"replica":          {StateEstablished, FlagException, 150 * time.Minute},
		"tombstone":        {StateRefused, FlagOwner | FlagException, 65 * time.Second},
	} {
		table := NewTable(10, epoch, DefaultLifetimes)
		e, err := table.Insert(epoch, tableKey(1))
		require.NoError(t, err)
		e.State, e.Flags = c.state, c.flags
		table.Expire(epoch.Add(c.want), 10, nil)
		assert.Equal(t, 1, table.Len(), name)
		calls := 0
		table.Expire(epoch.Add(c.want+time.Second), 10, func(*Entry) { calls++ })
		assert.Equal(t, 0, table.Len(), name)
		assert.Equal(t, 1, calls, name)
	}
}

// TestOpeningSent guards against a time of sending that is wrong after the stored
// milliseconds have wrapped around, or that differs from one reading to the next.
func TestOpeningSent(t *testing.T) {
	table := NewTable(10, epoch, DefaultLifetimes)
	e, err := table.Insert(epoch, tableKey(1))
	require.NoError(t, err)
	assert.True(t, table.OpeningSent(epoch, e).IsZero(), "not sent yet")
	for _, uptime := range []time.Duration{0, time.Hour, 1<<32*time.Millisecond - 1, 1 << 32 * time.Millisecond, 1000 * 24 * time.Hour} {
		sent := epoch.Add(uptime)
		table.SetOpeningSent(sent, e)
		for _, age := range []time.Duration{time.Millisecond, 1234567 * time.Microsecond, time.Minute} {
			got := table.OpeningSent(sent.Add(age), e)
			assert.WithinDuration(t, sent, got, time.Millisecond, uptime)
			assert.Equal(t, table.OpeningSent(sent.Add(time.Second), e), got, uptime)
		}
	}
	table.SetOpeningSent(time.Time{}, e)
	assert.True(t, table.OpeningSent(epoch, e).IsZero(), "the copy is not sent yet")
}

// TestEntrySize guards against an entry that takes more than a cache line.
func TestEntrySize(t *testing.T) { assert.LessOrEqual(t, int(unsafe.Sizeof(Entry{})), 64) }

// TestTableAllocations guards against allocations on the packet path.
func TestTableAllocations(t *testing.T) {
	table := NewTable(10, epoch, DefaultLifetimes)
	_, err := table.Insert(epoch, tableKey(1))
	require.NoError(t, err)
	assert.Zero(t, testing.AllocsPerRun(100, func() { table.Touch(epoch, table.Lookup(tableKey(1))) }))
}

func BenchmarkTableBytesPerFlow(b *testing.B) {
	const flows = 400_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable(flows, epoch, DefaultLifetimes)
		for i := range flows {
			_, _ = table.Insert(epoch, tableKey(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(table)
	}
}

func BenchmarkTableLookup(b *testing.B) {
	const flows = 400_000
	table := NewTable(flows, epoch, DefaultLifetimes)
	keys := make([]Key, flows)
	for i := range flows {
		keys[i] = tableKey(i)
		_, _ = table.Insert(epoch, keys[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table.Touch(epoch, table.Lookup(keys[i]))
		i = (i + 7919) % flows
	}
}
