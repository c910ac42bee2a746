package bvgroup

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvprobe"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// MessageCost is the cost of one message.
type MessageCost struct {
	Bytes int // In both directions, with TCP and IPv4 headers.
	// CPU is the processor time of this process, which is both the client and
	// the server.
	CPU time.Duration
}

// messagesPerAverage is the number of messages over which costs are averaged.
const messagesPerAverage = 2000

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, eris.Wrap(err, "bvgroup: read the processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// averageTime returns the processor time of f for one message. f sends
// messagesPerAverage messages.
func averageTime(f func() error) (time.Duration, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return (after - before) / messagesPerAverage, err
}

// PushCost returns the cost of a push of n records.
func PushCost(n int) (c MessageCost, err error) {
	m, err := newMeter()
	if err != nil {
		return c, err
	}
	defer m.close()
	records := make([]bvnode.FlowRecord, n)
	for i := range records {
		records[i] = bvnode.FlowRecord{Kind: bvroute.RecordPlaced, Upstream: bvconfig.UpstreamID(1<<63) + bvconfig.UpstreamID(i)}
	}
	var from, to Member
	c.CPU, err = averageTime(func() error {
		for range messagesPerAverage {
			if err := m.push(&from, &to, records); err != nil {
				return err
			}
		}
		return nil
	})
	c.Bytes = (from.Traffic.Sent.Calls + to.Traffic.Sent.Calls) / messagesPerAverage
	return c, err
}

// HeartbeatCost returns the cost of encoding and decoding a heartbeat.
func HeartbeatCost() (c MessageCost, err error) {
	m, err := newMeter()
	if err != nil {
		return c, err
	}
	defer m.close()
	h := bvmember.Heartbeat{Node: 1 << 63, Incarnation: 1 << 62, Version: bvconfig.Version{Revision: 1000}, BaseRevision: 1000}
	var b []byte
	c.CPU, err = averageTime(func() error {
		for range messagesPerAverage {
			if b, err = m.codec.AppendHeartbeat(b[:0], h); err != nil {
				return eris.Wrap(err, "bvgroup: encode a heartbeat")
			}
			if _, err = m.codec.DecodeHeartbeat(b); err != nil {
				return eris.Wrap(err, "bvgroup: decode a heartbeat")
			}
		}
		return nil
	})
	c.Bytes = len(b) + datagramBytes
	return c, err
}

// ProbeCost returns the cost of a probe of an upstream's health endpoint on a
// keep-alive connection.
func ProbeCost() (c MessageCost, err error) {
	l, err := listenCounting()
	if err != nil {
		return c, err
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"state":"warm","startedAt":"2030-01-01T00:00:00.000Z","openConnections":1234,"busySlots":4}`))
	}))
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	defer s.Close()
	results := make(chan bvnode.Event)
	ctx, cancel := context.WithCancel(context.Background())
	p := bvprobe.New(clockwork.NewRealClock(), func(e bvnode.Event) {
		select {
		case results <- e:
		case <-ctx.Done():
		}
	}, bvprobe.Options{Interval: 500 * time.Microsecond})
	var wait conc.WaitGroup
	wait.Go(func() { p.Run(ctx) })
	defer wait.Wait()
	defer cancel()
	p.Set([]bvconfig.Upstream{{Name: "vm", Service: "s", Health: l.address()}})
	next := func() error {
		if _, ok := (<-results).(bvnode.ProbeSucceeded); !ok {
			return eris.New("bvgroup: the probe failed")
		}
		return nil
	}
	if err := next(); err != nil {
		return c, err
	}
	c.Bytes = withHeaders(int(l.in.Load())) + withHeaders(int(l.out.Load()))
	c.CPU, err = averageTime(func() error {
		for range messagesPerAverage {
			if err := next(); err != nil {
				return err
			}
		}
		return nil
	})
	return c, err
}
