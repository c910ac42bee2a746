package bvtunnel

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// BatchSize is the number of packets that one system call reads or writes.
const BatchSize = 32

// socketBuffer is the size in bytes of the kernel's receive and send buffers. It
// holds about 3,000 packets of typical size, 1 ms at a million packets/s.
const socketBuffer = 4 << 20

// Socket is a UDP socket. Several sockets can share an address. The kernel then
// distributes packets over them by source, which keeps a flow's order.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
}

// Listen opens n sockets that share an address. With port 0 all use the port
// that the kernel assigns to the first one.
func Listen(ctx context.Context, addr netip.AddrPort, n int) ([]*Socket, error) {
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
		out = append(out, &Socket{conn: u, batch: ipv4.NewPacketConn(u)})
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
func (s *Socket) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Send sends one packet.
func (s *Socket) Send(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// InBatch is a batch of received packets. It reuses its memory.
type InBatch struct {
	messages []ipv4.Message
	count    int
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

// Packet returns packet i; it is valid until the next Read.
func (b *InBatch) Packet(i int) []byte { return b.messages[i].Buffers[0][:b.messages[i].N] }

// Read waits for at least one packet and fills b.
func (s *Socket) Read(b *InBatch) error {
	b.count = 0
	n, err := s.batch.ReadBatch(b.messages, 0)
	if err != nil {
		return err
	}
	b.count = n
	return nil
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
