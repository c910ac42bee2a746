package bvgroup

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvpeer"
	"balsamvane/io/bvplatform"
	"balsamvane/io/bvtunnel"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	// datagramBytes is the size of the IPv4 and UDP headers of a heartbeat.
	datagramBytes = 28
	// segmentBytes is the size of the IPv4 and TCP headers of a segment, with
	// timestamps. Each direction of a call on a keep-alive connection has one
	// data segment for each 1,448 bytes, and one acknowledgement.
	segmentBytes   = 52
	segmentPayload = 1448
	// platformReadBytes is an estimate of the headers of one read of the
	// platform, in both directions.
	platformReadBytes = 600
	// watchWait is the time after which a watch of the platform that saw no
	// change is answered and repeated.
	watchWait = 30 * time.Second
)

// Bytes counts the traffic of a balancer in one direction, in bytes unless
// noted otherwise.
type Bytes struct {
	Heartbeat        int // With IPv4 and UDP headers.
	Calls            int // Between peers, with HTTP, TCP and IPv4 headers.
	Platform         int // Reads of the platform, with an estimate of the headers.
	Record           int // Geneve record options on opening packets.
	ForwardedPackets int // Packets, not bytes.
}

// Control returns the bytes of control messages, without in-band records.
func (b Bytes) Control() int { return b.Heartbeat + b.Calls + b.Platform }

// Traffic holds the counters of both directions of a balancer.
type Traffic struct{ Sent, Received Bytes }

type keySource struct{ keys *bvtunnel.Keys }

func (s keySource) Keys() *bvtunnel.Keys { return s.keys }

// meter makes the calls between peers over one loopback connection and counts
// their bytes.
type meter struct {
	codec    *bvtunnel.Codec
	client   *bvpeer.Client
	listener *countingListener
	replies  presetReplies
	cancel   context.CancelFunc
	wait     conc.WaitGroup
	context  context.Context
}

// presetReplies is the server's handler. It returns the replies that the meter
// set before the call.
type presetReplies struct {
	sync   bvnode.SyncReceived
	bundle bundle
}

func (a *presetReplies) Sync(bvconfig.NodeID, uint64, int) bvnode.SyncReceived { return a.sync }
func (a *presetReplies) Push(bvconfig.NodeID, []bvnode.FlowRecord)             {}
func (a *presetReplies) Bundle() (bvplatform.Bundle, bool)                     { return platformBundle(a.bundle), true }

func (a *presetReplies) Base(uint64) (bvplatform.Bundle, time.Duration, bool) {
	return platformBundle(a.bundle), time.Hour, true
}

func platformBundle(b bundle) bvplatform.Bundle {
	return bvplatform.Bundle{Manifest: b.manifest, Parts: b.parts}
}

func newMeter() (*meter, error) {
	l, err := listenCounting()
	if err != nil {
		return nil, err
	}
	keys := keySource{&bvtunnel.Keys{Current: bvtunnel.Key{1}}}
	credentials := bvpeer.Credentials{Keys: keys}
	m := &meter{codec: bvtunnel.NewCodec(keys), listener: l}
	clock := clockwork.NewRealClock()
	m.client = bvpeer.NewClient(1<<63, credentials, clock, bvpeer.Options{Timeout: 10 * time.Second})
	m.context, m.cancel = context.WithCancel(context.Background())
	server := bvpeer.NewServer(&m.replies, credentials, clock, func() {})
	m.wait.Go(func() { _ = server.Serve(m.context, l) })
	return m, nil
}

func (m *meter) close() {
	m.cancel()
	m.wait.Wait()
}

func (m *meter) heartbeat(h bvmember.Heartbeat) (int, error) {
	b, err := m.codec.AppendHeartbeat(nil, h)
	return len(b) + datagramBytes, eris.Wrap(err, "bvgroup: encode a heartbeat")
}

// call runs f, which makes one call, and adds its bytes to the counters of both
// sides.
func (m *meter) call(from, to *Member, f func() error) error {
	in, out := m.listener.in.Load(), m.listener.out.Load()
	err := f()
	request := withHeaders(int(m.listener.in.Load() - in))
	answer := withHeaders(int(m.listener.out.Load() - out))
	from.Traffic.Sent.Calls += request
	to.Traffic.Received.Calls += request
	to.Traffic.Sent.Calls += answer
	from.Traffic.Received.Calls += answer
	return err
}

func withHeaders(n int) int { return n + segmentBytes*(1+(n+segmentPayload-1)/segmentPayload) }

func (m *meter) push(from, to *Member, rs []bvnode.FlowRecord) error {
	return m.call(from, to, func() error { return m.client.Push(m.context, m.listener.address(), rs) })
}

func (m *meter) sync(from, to *Member, a bvnode.RequestSync, r bvnode.SyncReceived) error {
	m.replies.sync = r
	return m.call(from, to, func() error {
		_, err := m.client.Sync(m.context, m.listener.address(), a.Cursor, a.Limit)
		return err
	})
}

func (m *meter) fetch(from, to *Member) error {
	m.replies.bundle = to.accepted
	m.client.CacheParts(platformBundle(from.accepted))
	return m.call(from, to, func() error {
		_, err := m.client.Fetch(m.context, m.listener.address())
		return err
	})
}

func (m *meter) fetchBase(from, to *Member, b bundle) error {
	m.replies.bundle = b
	return m.call(from, to, func() error {
		_, _, err := m.client.FetchBase(m.context, m.listener.address(), b.config.Version.Revision)
		return err
	})
}

// recordBytes returns the size of the Geneve option that carries a record.
func recordBytes(r bvroute.Record) int { return 4 + 4 + 8 + 8*int(r.Count) }

// countingListener counts the bytes of all connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func listenCounting() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "bvgroup: listen")
	}
	return &countingListener{Listener: l}, nil
}

func (l *countingListener) address() netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, eris.Wrap(err, "bvgroup: accept a connection")
	}
	return countingConn{c, l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	// Count before writing, so that the peer cannot read bytes that are not
	// counted yet.
	c.listener.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}
