package bvpeer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamvane/io/bvtunnel"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Credentials authenticate peers. If TLS is set it is used, and otherwise the
// shared key.
type Credentials struct {
	TLS  *TLSFiles
	Keys bvtunnel.KeySource
}

const (
	authHeader = "Balsamvane-Authentication"
	// maxSkew is the maximum difference between a request's time and the
	// server's clock. It limits replays, and the clocks of the VMs must agree
	// within it.
	maxSkew = 30 * time.Second
)

// errUnsignedAnswer is returned for answers that are not signed with the
// shared key. The caller adds the package's prefix.
var errUnsignedAnswer = errors.New("answer is not authenticated")

// sign returns the HMAC over the fields. Its key is derived from k, so that
// tunnel MACs and control signatures are independent.
func sign(k bvtunnel.Key, fields ...[]byte) []byte {
	derived := hmac.New(sha256.New, k[:])
	_, _ = derived.Write([]byte("balsamvane control"))
	h := hmac.New(sha256.New, derived.Sum(nil))
	for _, f := range fields {
		_, _ = h.Write(appendUint64(nil, uint64(len(f))))
		_, _ = h.Write(f)
	}
	return h.Sum(nil)
}

// verify reports whether mac is valid under the current or the previous key.
func verify(k *bvtunnel.Keys, mac []byte, fields ...[]byte) bool {
	if hmac.Equal(mac, sign(k.Current, fields...)) {
		return true
	}
	return k.HasPrevious && hmac.Equal(mac, sign(k.Previous, fields...))
}

// requestFields returns the fields of a request that its signature covers.
func requestFields(r *http.Request, sentAt string, body []byte) [][]byte {
	return [][]byte{[]byte("request"), []byte(r.Method), []byte(r.URL.Path), []byte(sentAt), body}
}

// signingTransport is an http.RoundTripper that signs requests and verifies the
// signatures of answers.
type signingTransport struct {
	next  http.RoundTripper
	keys  bvtunnel.KeySource
	clock clockwork.Clock
}

// RoundTrip implements http.RoundTripper.
func (s signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	k := s.keys.Keys()
	if k == nil {
		return nil, bvtunnel.ErrNoKey
	}
	body, err := readBounded(r.Body, maxRequest)
	if err != nil {
		return nil, err
	}
	sentAt := strconv.FormatInt(s.clock.Now().UnixMilli(), 10)
	out := r.Clone(r.Context())
	out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	mac := sign(k.Current, requestFields(out, sentAt, body)...)
	out.Header.Set(authHeader, sentAt+"."+hex.EncodeToString(mac))
	resp, err := s.next.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	answer, err := readBounded(resp.Body, maxAnswer)
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	if resp.StatusCode == http.StatusUnauthorized {
		// The peer could not verify the request, so its answer is not signed.
		return resp, nil
	}
	signature, err := hex.DecodeString(resp.Header.Get(authHeader))
	if err != nil || !verify(k, signature, []byte("answer"), mac, []byte(strconv.Itoa(resp.StatusCode)), answer) {
		return nil, errUnsignedAnswer
	}
	return resp, nil
}

func readBounded(r io.ReadCloser, limit int64) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	defer func() { _ = r.Close() }()
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "reading message")
	}
	if int64(len(b)) > limit {
		return nil, eris.Errorf("message is larger than %d bytes", limit)
	}
	return b, nil
}

// authenticate returns a handler that passes only requests with a valid
// signature to next and signs the answers. It calls rejected for the others.
func authenticate(next http.Handler, keys bvtunnel.KeySource, clock clockwork.Clock, rejected func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := keys.Keys()
		body, err := readBounded(r.Body, maxRequest)
		var mac []byte
		ok := k != nil && err == nil
		if ok {
			mac, ok = checkRequest(r, body, k, clock.Now())
		}
		if !ok {
			rejected()
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		answer := buffered.body.Bytes()
		// Sign with the key that the request was signed with, because the peer
		// may not have read a changed key file yet.
		key := k.Current
		if !hmac.Equal(mac, sign(key, requestFields(r, requestTime(r), body)...)) {
			key = k.Previous
		}
		sum := sign(key, []byte("answer"), mac, []byte(strconv.Itoa(buffered.status)), answer)
		w.Header().Set(authHeader, hex.EncodeToString(sum))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(answer)
	})
}

func requestTime(r *http.Request) string {
	sentAt, _, _ := strings.Cut(r.Header.Get(authHeader), ".")
	return sentAt
}

// checkRequest returns the request's MAC and reports whether it is valid and the
// request's time is within maxSkew of now.
func checkRequest(r *http.Request, body []byte, k *bvtunnel.Keys, now time.Time) ([]byte, bool) {
	sentAt, sum, _ := strings.Cut(r.Header.Get(authHeader), ".")
	ms, err := strconv.ParseInt(sentAt, 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > maxSkew {
		return nil, false
	}
	mac, err := hex.DecodeString(sum)
	if err != nil {
		return nil, false
	}
	return mac, verify(k, mac, requestFields(r, sentAt, body)...)
}

// bufferedAnswer holds an answer until it is signed.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(p []byte) (int, error) { return b.body.Write(p) }
