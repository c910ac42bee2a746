package bvpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errAuthority is returned for an authority file without a certificate.
var errAuthority = errors.New("bvpeer: authority file holds no certificate")

// handshakeTimeout is the timeout of connecting and the TLS handshake together.
const handshakeTimeout = 2 * time.Second

// TLSFiles loads a balancer's certificate, its key and the authority that signs
// the group's certificates from PEM files. It reloads them when one of the files
// changes. Certificates carry the IP address of their VM.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string

	mu       sync.Mutex
	modified [3]time.Time
	pair     tls.Certificate
	pool     *x509.CertPool
}

// Load reads the files if one has changed. On an error the previous
// certificates stay in use.
func (f *TLSFiles) Load() error {
	_, _, err := f.load()
	return err
}

// load calls reload and returns the certificates in use. If reload fails, these
// are the previous ones; the pool is nil if there are none.
func (f *TLSFiles) load() (tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.reload()
	if f.pool == nil {
		return tls.Certificate{}, nil, err
	}
	return f.pair, f.pool, err
}

// reload reads the files if they were never read or a modification time changed.
func (f *TLSFiles) reload() error {
	var modified [3]time.Time
	for i, p := range []string{f.Certificate, f.Key, f.Authority} {
		s, err := os.Stat(p)
		if err != nil {
			return eris.Wrap(err, "bvpeer: reading TLS files")
		}
		modified[i] = s.ModTime()
	}
	if f.pool != nil && modified == f.modified {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return eris.Wrap(err, "bvpeer: reading TLS files")
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return eris.Wrap(err, "bvpeer: reading TLS files")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errAuthority
	}
	f.modified, f.pair, f.pool = modified, pair, pool
	return nil
}

// server returns a server configuration that loads changed files at each
// handshake.
func (f *TLSFiles) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := f.load()
			if pool == nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// dial opens a TLS connection after loading changed files.
func (f *TLSFiles) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	pair, pool, err := f.load()
	if pool == nil {
		return nil, err
	}
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: handshakeTimeout}, Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
	}}
	return d.DialContext(ctx, network, addr)
}
