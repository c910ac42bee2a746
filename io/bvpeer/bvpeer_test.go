package bvpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvplatform"
	"balsamvane/io/bvtunnel"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type fixedKeys bvtunnel.Keys

func (k *fixedKeys) Keys() *bvtunnel.Keys { return (*bvtunnel.Keys)(k) }

// recordingHandler is a Handler that records pushes and returns fixed answers.
type recordingHandler struct {
	mu     sync.Mutex
	pushed []bvnode.FlowRecord
	bundle bvplatform.Bundle
}

var syncResult = bvnode.SyncReceived{
	From: 9,
	Records: []bvnode.FlowRecord{
		{Key: [16]byte{1}, Kind: bvroute.RecordPlaced, Upstream: 5},
		{Key: [16]byte{2}, Kind: bvroute.RecordRefused},
	},
	Warm:         []bvnode.WarmState{{Upstream: 5, Age: time.Second}},
	BaseRevision: 3, Cursor: 4, Done: true,
}

func (p *recordingHandler) Sync(bvconfig.NodeID, uint64, int) bvnode.SyncReceived { return syncResult }

func (p *recordingHandler) Push(_ bvconfig.NodeID, l []bvnode.FlowRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pushed = append(p.pushed, l...)
}

func (p *recordingHandler) Bundle() (bvplatform.Bundle, bool) {
	return p.bundle, p.bundle.Manifest != nil
}

func (p *recordingHandler) Base(revision uint64) (bvplatform.Bundle, time.Duration, bool) {
	return p.bundle, time.Hour, revision == 7
}

// rejected counts the calls rejected by the servers of all tests.
var rejected atomic.Int64

func serve(t *testing.T, h Handler, c Credentials, clock clockwork.Clock) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- NewServer(h, c, clock, func() { rejected.Add(1) }).Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
	return netip.MustParseAddrPort(l.Addr().String())
}

func bundle(parts ...string) bvplatform.Bundle {
	b := bvplatform.Bundle{Parts: map[string][]byte{}}
	var l []string
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h := hex.EncodeToString(sum[:])
		b.Parts[h] = []byte(p)
		l = append(l, fmt.Sprintf(`{"key":"%s","sha256":"%s","size":%d}`, h, h, len(p)))
	}
	b.Manifest = []byte(`{"parts":[` + strings.Join(l, ",") + `]}`)
	return b
}

// TestCalls guards against fields lost between client and server.
func TestCalls(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cred := Credentials{Keys: &fixedKeys{Current: bvtunnel.Key{1}}}
	p := &recordingHandler{}
	addr := serve(t, p, cred, clock)
	c := NewClient(7, cred, clock, Options{})
	got, err := c.Sync(t.Context(), addr, 0, 100)
	require.NoError(t, err)
	assert.Equal(t, syncResult, got)
	require.NoError(t, c.Push(t.Context(), addr, syncResult.Records))
	assert.Equal(t, syncResult.Records, p.pushed)

	_, err = c.Fetch(t.Context(), addr)
	assert.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
	p.bundle = bundle("a", "b")
	for range 2 {
		b, err := c.Fetch(t.Context(), addr)
		require.NoError(t, err)
		assert.Equal(t, p.bundle, b)
	}
	p.bundle = bundle("b", "c")
	b, err := c.Fetch(t.Context(), addr)
	require.NoError(t, err)
	assert.Equal(t, p.bundle, b)
}

// TestUnauthenticated guards against accepting calls without a valid signature
// or with an old timestamp, as replayed calls have, and against rejecting the
// previous key while the shared key is being changed.
func TestUnauthenticated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	oldKey, newKey := bvtunnel.Key{1}, bvtunnel.Key{2}
	p := &recordingHandler{}
	addr := serve(t, p, Credentials{Keys: &fixedKeys{Current: newKey, Previous: oldKey, HasPrevious: true}}, clock)
	push := func(k bvtunnel.Key, at clockwork.Clock) error {
		c := NewClient(7, Credentials{Keys: &fixedKeys{Current: k}}, at, Options{})
		return c.Push(t.Context(), addr, syncResult.Records)
	}
	before := rejected.Load()
	assert.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(push(bvtunnel.Key{3}, clock)))
	skewedClock := clockwork.NewFakeClockAt(clock.Now().Add(-time.Minute))
	assert.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(push(newKey, skewedClock)))
	resp, err := http.Post("http://"+addr.String()+procedurePush, "application/cbor", strings.NewReader("\xa0"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	assert.Empty(t, p.pushed)
	assert.Equal(t, before+3, rejected.Load())
	require.NoError(t, push(newKey, clock))
	require.NoError(t, push(oldKey, clock))
}

// TestUnsignedAnswer guards against accepting answers from a process that does
// not have the key.
func TestUnsignedAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write([]byte{0xa0})
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	clock := clockwork.NewFakeClock()
	c := NewClient(7, Credentials{Keys: &fixedKeys{}}, clock, Options{RetryDelay: time.Nanosecond})
	c.budget.Called(clock.Now())
	for c.budget.Allow(clock.Now()) { // No retry, which would wait for the clock.
		continue
	}
	err = c.Push(t.Context(), netip.MustParseAddrPort(l.Addr().String()), syncResult.Records)
	assert.ErrorContains(t, err, errUnsignedAnswer.Error())
}

// TestUnresponsivePeer guards against a call that never returns if the peer
// accepts connections but does not answer, and against reuse of its connection.
func TestUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// The client may reuse a connection on which it sent nothing, so a
			// connection counts only once request data has arrived.
			if _, err := c.Read(make([]byte, 1)); err == nil {
				conns <- c
			}
		}
	}()
	clock := clockwork.NewFakeClock()
	c := NewClient(7, Credentials{Keys: &fixedKeys{}}, clock, Options{})
	done := make(chan error)
	go func() {
		_, err := c.Sync(t.Context(), netip.MustParseAddrPort(l.Addr().String()), 0, 1)
		done <- err
	}()
	var accepted []net.Conn
	for range 2 { // The first attempt and its retry, each on its own connection.
		accepted = append(accepted, <-conns)
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(2 * time.Second)
		if len(accepted) == 1 {
			require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(100 * time.Millisecond)
		}
	}
	require.ErrorIs(t, <-done, ErrTimeout)
	require.NoError(t, l.Close())
	for _, h := range accepted {
		_ = h.Close()
	}
}

// TestMutualTLS guards against accepting peers whose certificate is not signed by
// the group's authority.
func TestMutualTLS(t *testing.T) {
	clock := clockwork.NewFakeClock()
	group, otherGroup := newTLSFiles(t), newTLSFiles(t)
	p := &recordingHandler{}
	addr := serve(t, p, Credentials{TLS: group}, clock)
	require.NoError(t, NewClient(7, Credentials{TLS: group}, clock, Options{}).Push(t.Context(), addr, syncResult.Records))
	require.Len(t, p.pushed, 2)
	mixed := &TLSFiles{Certificate: otherGroup.Certificate, Key: otherGroup.Key, Authority: group.Authority}
	c := NewClient(7, Credentials{TLS: mixed}, clock, Options{})
	c.budget.Called(clock.Now())
	for c.budget.Allow(clock.Now()) { // No retry, which would wait for the clock.
		continue
	}
	require.Error(t, c.Push(t.Context(), addr, syncResult.Records))
	require.Len(t, p.pushed, 2)
}

// TestTLSReload guards against certificates that stay in use after their files
// have changed, and against an invalid file that replaces valid certificates.
func TestTLSReload(t *testing.T) {
	group, next := newTLSFiles(t), newTLSFiles(t)
	replace := func(to, from string) {
		b, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, b, 0o600))
		later := time.Now().Add(time.Hour) // An equal modification time would hide the change.
		require.NoError(t, os.Chtimes(to, later, later))
	}
	addr := serve(t, &recordingHandler{}, Credentials{TLS: group}, clockwork.NewFakeClock())
	push := func(f *TLSFiles) error {
		c := NewClient(7, Credentials{TLS: f}, clockwork.NewFakeClock(), Options{})
		c.budget.Called(c.clock.Now())
		for c.budget.Allow(c.clock.Now()) { // No retry, which would wait for the clock.
			continue
		}
		return c.Push(t.Context(), addr, nil)
	}
	require.Error(t, push(next))
	replace(group.Certificate, next.Certificate)
	replace(group.Key, next.Key)
	replace(group.Authority, next.Authority)
	require.NoError(t, push(next))
	require.NoError(t, os.WriteFile(group.Authority, []byte("x"), 0o600))
	require.ErrorIs(t, group.Load(), errAuthority)
	require.NoError(t, push(next))
}

// newTLSFiles creates a certificate authority and writes its certificate and one
// for 127.0.0.1 that it signed.
func newTLSFiles(t *testing.T) *TLSFiles {
	dir := t.TempDir()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, b []byte) string {
		p := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(p, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
		return p
	}
	return &TLSFiles{
		Certificate: write("cert.pem", "CERTIFICATE", der),
		Key:         write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   write("ca.pem", "CERTIFICATE", caDER),
	}
}

// FuzzDecodeRecords guards against panics and against records that are not in
// the input.
func FuzzDecodeRecords(f *testing.F) {
	f.Add(make([]byte, 24), make([]byte, 16))
	f.Fuzz(func(t *testing.T, placed, refused []byte) {
		w := records{Placed: placed, Refused: refused}
		l, err := w.decode()
		if err == nil {
			require.Len(t, l, len(placed)/recordSize+len(refused)/recordSize)
			assert.Equal(t, string(placed), string(encodeRecords(l).Placed))
		}
	})
}

// FuzzDecodeMessage guards against panics on any CBOR message.
func FuzzDecodeMessage(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x05})
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := bvcodec.New()
		_ = c.Unmarshal(b, &syncRequest{})
		_ = c.Unmarshal(b, &syncAnswer{})
		_ = c.Unmarshal(b, &pushRequest{})
		_ = c.Unmarshal(b, &fetchRequest{})
		_ = c.Unmarshal(b, &fetchAnswer{})
	})
}
