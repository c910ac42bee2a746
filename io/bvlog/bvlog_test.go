package bvlog

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// output is a writer that can be blocked.
type output struct {
	mu      sync.Mutex
	blocked sync.Mutex
	bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.blocked.Lock()
	defer o.blocked.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(b)
}

func (o *output) lines() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Split(bytes.TrimSpace(bytes.Clone(o.Buffer.Bytes())), []byte("\n"))
}

// TestLines guards against lines that are lost or malformed when the process
// stops.
func TestLines(t *testing.T) {
	o := &output{}
	l, err := New("info", o, clockwork.NewRealClock())
	require.NoError(t, err)
	l.Debug("suppressed by its level")
	l.Info("first", zap.Duration("age", 1500*time.Millisecond))
	l.Warn("second")
	l.Close()
	lines := o.lines()
	require.Len(t, lines, 2)
	var v map[string]any
	require.NoError(t, json.Unmarshal(lines[0], &v))
	assert.Equal(t, "first", v["msg"])
	assert.Equal(t, "1.5s", v["age"])
	_, err = New("loud", o, clockwork.NewRealClock())
	assert.Error(t, err)
}

// TestBlockedOutput guards against a process that blocks because its log output
// is not read, and against suppressed lines that are not counted.
func TestBlockedOutput(t *testing.T) {
	o := &output{}
	clock := clockwork.NewFakeClock()
	l, err := New("info", o, clock)
	require.NoError(t, err)
	o.blocked.Lock()
	const lines = 5000
	long := zap.ByteString("filler", bytes.Repeat([]byte("x"), 1000))
	for i := range lines {
		if i%sampledFirst == 0 {
			clock.Advance(time.Second) // Prevents the sampler from suppressing lines.
		}
		l.Info("line", long)
	}
	o.blocked.Unlock()
	l.Close()
	assert.Positive(t, l.Suppressed())
	assert.EqualValues(t, lines, int64(len(o.lines()))+l.Suppressed(), "the counts add up")
}

// TestRepeatedLines guards against a repeated message that fills the log.
func TestRepeatedLines(t *testing.T) {
	o := &output{}
	l, err := New("info", o, clockwork.NewFakeClock())
	require.NoError(t, err)
	for range 3000 {
		l.Info("same")
	}
	l.Close()
	assert.Less(t, len(o.lines()), sampledFirst+10)
	assert.EqualValues(t, 3000, int64(len(o.lines()))+l.Suppressed())
}

// TestBudget guards against lines in excess of their budget, and against a budget
// that is not refilled once it is used up.
func TestBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(clock, 10)
	count := func(calls int) int {
		n := 0
		for range calls {
			if b.Allow() {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 20, count(100))
	assert.EqualValues(t, 80, b.TakeSuppressed())
	assert.Zero(t, b.TakeSuppressed())
	clock.Advance(time.Second)
	assert.Equal(t, 10, count(100))
	clock.Advance(time.Hour)
	assert.Equal(t, 20, count(100), "the burst is bounded")
}
