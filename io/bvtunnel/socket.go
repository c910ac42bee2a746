package bvtunnel

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// BatchSize is the number of packets that one system call reads or writes.
const BatchSize = 32

// socketBuffer is the size in bytes of the kernel's receive and send buffers. It
// holds about 3,000 packets of typical size, 1 ms at a million packets/s.
const socketBuffer = 4 << 20

// maxReadWait is how long a read waits for a packet before it checks again that
// the socket is empty. It bounds how far [InBatch.ArrivedAfter] is before the
// arrival of a packet that did not wait.
const maxReadWait = 50 * time.Millisecond

// Socket is a UDP socket. Several sockets can share an address. The kernel then
// distributes packets over them by source, which keeps a flow's order.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
	clock clockwork.Clock
	// deadline ends reads; nil if none is set.
	deadline atomic.Pointer[time.Time]
	// emptyAfter is a time after which the socket was empty; zero if it never was.
	emptyAfter time.Time
}

// Listen opens n sockets that share an address. With port 0 all use the port
// that the kernel assigns to the first one. The clock tells when packets arrived;
// see [InBatch].
func Listen(ctx context.Context, addr netip.AddrPort, n int, clock clockwork.Clock) ([]*Socket, error) {
	lc := net.ListenConfig{Control: setReusePort}
	var out []*Socket
	for range n {
		c, err := lc.ListenPacket(ctx, "udp", addr.String())
		if err != nil {
			for _, s := range out {
				_ = s.Close()
			}
			return nil, eris.Wrapf(err, "bvtunnel: listening on %s", addr)
		}
		u := c.(*net.UDPConn)
		// The kernel limits both sizes; a smaller buffer is not an error.
		_ = u.SetReadBuffer(socketBuffer)
		_ = u.SetWriteBuffer(socketBuffer)
		// ipv4.PacketConn reads and writes batches of either address family.
		out = append(out, &Socket{conn: u, batch: ipv4.NewPacketConn(u), clock: clock})
		addr = u.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return out, nil
}

func setReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); cerr != nil {
		return cerr
	}
	return err
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket. Pending and later reads return an error.
func (s *Socket) Close() error { return s.conn.Close() }

// SetReadDeadline makes reads fail after t, in the time of the system clock.
func (s *Socket) SetReadDeadline(t time.Time) error {
	s.deadline.Store(&t)
	return s.conn.SetReadDeadline(t)
}

// nextReadDeadline returns when the next wait for a packet ends.
func (s *Socket) nextReadDeadline(wait time.Duration) time.Time {
	t := time.Now().Add(wait)
	if d := s.deadline.Load(); d != nil && d.Before(t) {
		return *d
	}
	return t
}

// expired reports whether the deadline of SetReadDeadline has passed.
func (s *Socket) expired() bool {
	d := s.deadline.Load()
	return d != nil && !time.Now().Before(*d)
}

// Send sends one packet.
func (s *Socket) Send(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// InBatch is a batch of received packets. It reuses its memory.
//
// Packets may have waited in the socket's buffer for as long as the process was
// busy or paused, so the time of the read tells only by when they had arrived.
// The kernel's timestamps do not help: they use the time of day, which may jump.
type InBatch struct {
	messages     []ipv4.Message
	count        int
	readStart    time.Time
	arrivedAfter time.Time
}

// NewInBatch returns an empty batch of BatchSize packets.
func NewInBatch() *InBatch {
	b := &InBatch{messages: make([]ipv4.Message, BatchSize)}
	for i := range b.messages {
		// The extra byte makes oversized packets detectable.
		b.messages[i].Buffers = [][]byte{make([]byte, MaxPacket+1)}
	}
	return b
}

// Len returns the number of packets.
func (b *InBatch) Len() int { return b.count }

// ReadStart returns the time at which the read began.
func (b *InBatch) ReadStart() time.Time { return b.readStart }

// ArrivedAfter returns a time after which all packets of the batch arrived. All
// packets that had arrived by then were in earlier batches. It is the zero value
// if no such time is known.
func (b *InBatch) ArrivedAfter() time.Time { return b.arrivedAfter }

// Packet returns packet i; it is valid until the next Read.
func (b *InBatch) Packet(i int) []byte { return b.messages[i].Buffers[0][:b.messages[i].N] }

// Read waits for at least one packet and fills b. It must not be called
// concurrently.
func (s *Socket) Read(b *InBatch) error {
	b.readStart = s.clock.Now()
	for {
		err := s.readOnce(b, maxReadWait)
		if !errors.Is(err, os.ErrDeadlineExceeded) || s.expired() {
			return err
		}
	}
}

// ReadFor is like Read, but returns an empty batch if no packet arrives within a wait of
// at most maxReadWait. The empty batch's ArrivedAfter is the end of the wait.
func (s *Socket) ReadFor(b *InBatch, wait time.Duration) error {
	b.readStart = s.clock.Now()
	err := s.readOnce(b, min(wait, maxReadWait))
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.expired() {
		return err
	}
	// This process may have been paused at the end of the wait, while packets arrived.
	start := s.clock.Now()
	if err := s.conn.SetReadDeadline(s.nextReadDeadline(maxReadWait)); err != nil {
		return err
	}
	if err = s.fill(b, unix.MSG_DONTWAIT); !errors.Is(err, unix.EAGAIN) {
		return err
	}
	s.emptyAfter, b.arrivedAfter = start, start
	return nil
}

// readOnce reads the packets that wait, or waits for at most a time.
func (s *Socket) readOnce(b *InBatch, wait time.Duration) error {
	start := s.clock.Now()
	if err := s.conn.SetReadDeadline(s.nextReadDeadline(wait)); err != nil {
		return err
	}
	err := s.fill(b, unix.MSG_DONTWAIT)
	if errors.Is(err, unix.EAGAIN) {
		s.emptyAfter = start
		return s.fill(b, 0)
	}
	if err == nil && b.count < len(b.messages) {
		s.emptyAfter = start // No more packets waited.
	}
	return err
}

// fill reads one batch with the flags of recvmmsg.
func (s *Socket) fill(b *InBatch, flags int) error {
	b.count, b.arrivedAfter = 0, s.emptyAfter
	n, err := s.batch.ReadBatch(b.messages, flags)
	b.count = max(n, 0)
	return err
}

// OutBatch is a batch of packets to send. It reuses its memory.
type OutBatch struct {
	messages  []ipv4.Message
	addresses []net.UDPAddr
	count     int
}

// NewOutBatch returns an empty batch of BatchSize packets.
func NewOutBatch() *OutBatch {
	b := &OutBatch{messages: make([]ipv4.Message, BatchSize), addresses: make([]net.UDPAddr, BatchSize)}
	for i := range b.messages {
		b.messages[i].Buffers = [][]byte{make([]byte, 0, MaxPacket)}
		b.addresses[i].IP = make(net.IP, 0, net.IPv6len)
		b.messages[i].Addr = &b.addresses[i]
	}
	return b
}

// Full reports whether the batch has no room for another packet.
func (b *OutBatch) Full() bool { return b.count == len(b.messages) }

// Buffer returns the empty buffer of the next packet, to append to.
func (b *OutBatch) Buffer() []byte { return b.messages[b.count].Buffers[0][:0] }

// Add adds a packet that was appended to [OutBatch.Buffer].
func (b *OutBatch) Add(packet []byte, to netip.AddrPort) {
	b.messages[b.count].Buffers[0] = packet
	a := &b.addresses[b.count]
	if ip := to.Addr().Unmap(); ip.Is4() {
		v := ip.As4()
		a.IP = append(a.IP[:0], v[:]...)
	} else {
		v := ip.As16()
		a.IP = append(a.IP[:0], v[:]...)
	}
	a.Port, a.Zone = int(to.Port()), to.Addr().Zone()
	b.count++
}

// Write sends all packets of b and empties it. It returns the number of packets
// that the kernel did not accept. After a failed packet, such as one to a dead
// destination, it continues with the next one.
func (s *Socket) Write(b *OutBatch) (failed int) {
	rest := b.messages[:b.count]
	b.count = 0
	for len(rest) > 0 {
		n, err := s.batch.WriteBatch(rest, 0)
		if err != nil || n <= 0 {
			failed++
			n = max(n, 0) + 1
		}
		rest = rest[min(n, len(rest)):]
	}
	return failed
}
