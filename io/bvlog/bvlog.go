// Package bvlog makes the structured logs of a process. Nothing waits on them:
// lines go through a bounded buffer to the output, and lines of one kind have a
// budget. What is left out is counted, and a line says so.
//
// # Usage
//
//	l, err := bvlog.New("info", os.Stdout, clock)
//	defer l.Close()
//	l.Info("balancer started", zap.String("node", node))
//	b := bvlog.NewBudget(clock, 20)
//	if b.Allow() {
//		l.Info("flow reset", zap.Stringer("reason", reason))
//	}
package bvlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxBuffered bounds the bytes of lines that wait for the output.
const maxBuffered = 1 << 20

// Lines with one message and level are cut to a few of the rest above a number
// in each second, so that nothing that repeats fills the log. Kinds of lines
// with a [Budget] stay below it.
const (
	linesBefore = 200
	oneInAfter  = 1000
)

// closeTimeout bounds how long [Logger.Close] waits for the output.
const closeTimeout = 500 * time.Millisecond

// Logger writes JSON lines to an output.
type Logger struct {
	*zap.Logger
	writer *writer
}

// New returns a logger for lines of a level and above.
func New(level string, out io.Writer, clock clockwork.Clock) (*Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "bvlog: level")
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.StringDurationEncoder
	w := newWriter(out, clock)
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, l),
		time.Second, linesBefore, oneInAfter, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.leftOut.Add(1)
			}
		}))
	return &Logger{Logger: zap.New(core, zap.WithClock(zapClock{clock})), writer: w}, nil
}

// Suppressed returns the number of lines that the output was too slow for.
func (l *Logger) Suppressed() int64 { return l.writer.leftOut.Load() }

// Close writes what is buffered, unless the output does not take it in time.
func (l *Logger) Close() { l.writer.close() }

// zapClock lets lines carry the time of the process's clock.
type zapClock struct{ clock clockwork.Clock }

func (c zapClock) Now() time.Time { return c.clock.Now() }

func (c zapClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// writer hands lines to a goroutine that writes them. It implements
// zapcore.WriteSyncer.
type writer struct {
	out     io.Writer
	clock   clockwork.Clock
	leftOut atomic.Int64
	group   conc.WaitGroup

	mu      sync.Mutex
	ready   *sync.Cond
	buffer  []byte // Lines that wait.
	spare   []byte // The buffer that was written last.
	closing bool
}

func newWriter(out io.Writer, clock clockwork.Clock) *writer {
	w := &writer{out: out, clock: clock}
	w.ready = sync.NewCond(&w.mu)
	w.group.Go(w.run)
	return w
}

// Write takes a line. It never waits for the output: a line that does not fit
// is left out and counted.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBuffered || w.closing {
		w.leftOut.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.ready.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are on their way already.
func (w *writer) Sync() error { return nil }

func (w *writer) run() {
	for {
		w.mu.Lock()
		for len(w.buffer) == 0 && !w.closing {
			w.ready.Wait()
		}
		lines := w.buffer
		w.buffer, w.spare = w.spare[:0], nil
		closing := w.closing
		w.mu.Unlock()
		if len(lines) > 0 {
			// An output that is gone has no place to report that to.
			_, _ = w.out.Write(lines)
		}
		w.mu.Lock()
		w.spare = lines
		w.mu.Unlock()
		if closing && len(lines) == 0 {
			return
		}
	}
}

func (w *writer) close() {
	w.mu.Lock()
	w.closing = true
	w.ready.Signal()
	w.mu.Unlock()
	done := make(chan struct{})
	go func() {
		w.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-w.clock.After(closeTimeout):
	}
}
