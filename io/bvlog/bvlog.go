// Package bvlog writes the structured logs of a process. Logging never blocks:
// lines go through a bounded buffer to the output, and lines of one kind have a
// budget. Suppressed lines are counted, and the count is logged.
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

// maxBufferedBytes bounds the lines that wait for the output.
const maxBufferedBytes = 1 << 20

// Of the lines with the same message and level, the first sampledFirst in each
// second are written, then one in sampledThereafter, so that a repeated message
// cannot fill the log. Kinds of lines with a [Budget] stay below this limit.
const (
	sampledFirst      = 200
	sampledThereafter = 1000
)

// closeTimeout bounds how long [Logger.Close] waits for the output.
const closeTimeout = 500 * time.Millisecond

// Logger writes JSON lines to an output.
type Logger struct {
	*zap.Logger
	writer *writer
}

// New returns a logger for lines of the given level and above.
func New(level string, out io.Writer, clock clockwork.Clock) (*Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "bvlog: parsing level")
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.StringDurationEncoder
	w := newWriter(out, clock)
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, l),
		time.Second, sampledFirst, sampledThereafter, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.suppressed.Add(1)
			}
		}))
	return &Logger{Logger: zap.New(core, zap.WithClock(zapClock{clock})), writer: w}, nil
}

// Suppressed returns the number of lines suppressed by sampling, or because the
// output was too slow.
func (l *Logger) Suppressed() int64 { return l.writer.suppressed.Load() }

// Close writes the buffered lines. It returns after closeTimeout if the output is
// too slow.
func (l *Logger) Close() { l.writer.close() }

// zapClock makes zap use the process's clock for the time of lines.
type zapClock struct{ clock clockwork.Clock }

func (c zapClock) Now() time.Time { return c.clock.Now() }

func (c zapClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// writer passes lines to a goroutine that writes them. It implements
// zapcore.WriteSyncer.
type writer struct {
	out        io.Writer
	clock      clockwork.Clock
	suppressed atomic.Int64
	group      conc.WaitGroup

	mu      sync.Mutex
	ready   *sync.Cond
	buffer  []byte // Lines that wait for the output.
	spare   []byte // The buffer that was written last.
	closing bool
}

func newWriter(out io.Writer, clock clockwork.Clock) *writer {
	w := &writer{out: out, clock: clock}
	w.ready = sync.NewCond(&w.mu)
	w.group.Go(w.run)
	return w
}

// Write buffers a line. It never waits for the output: a line that does not fit
// is suppressed and counted.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes || w.closing {
		w.suppressed.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.ready.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since the goroutine writes
// all buffered lines.
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
			// There is no place to report a failure of the output.
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
