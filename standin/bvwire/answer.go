package bvwire

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"
)

// Verbs of requests. A request is one line: verb, ID and optional tokens such
// as deadline=<milliseconds>. A feed is a connection that stays open and on which
// the upstream sends a [FeedMessage] at intervals. Requests of the other verbs get
// one [Answer].
const (
	VerbFeed        = "feed"
	VerbTicket      = "ticket"
	VerbCertificate = "certificate"
	VerbSummary     = "summary"
)

// CertificateSize is the number of body bytes of a certificate, about 25
// segments.
const CertificateSize = 30_000

// Errors of [ParseAnswer].
var (
	ErrPartialAnswer   = eris.New("bvwire: answer is incomplete")
	ErrMalformedAnswer = eris.New("bvwire: answer is malformed")
)

// Answer is an upstream's answer to a request other than a feed.
type Answer struct {
	Verb, ID, Service, Upstream string
	// Refusal is the reason why the request was not run; empty if it was run.
	Refusal string
	Body    []byte
}

// Body returns the content that every upstream serves for a verb and ID. It
// depends on nothing else, so that a caller can check all of it.
func Body(verb, id string) []byte {
	if verb != VerbCertificate {
		return []byte(verb + " " + id + " done\n")
	}
	b := make([]byte, CertificateSize)
	r := rand.New(rand.NewPCG(xxh3.HashString(id), 1))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// Format returns the encoded answer: a header line with the body's size and
// CRC-32, and the body. A refusal is a single line.
func (a Answer) Format() []byte {
	if a.Refusal != "" {
		return fmt.Appendf(nil, "refused %s %s %s %s %s\n", a.Verb, a.ID, a.Service, a.Upstream, a.Refusal)
	}
	b := fmt.Appendf(nil, "ok %s %s %s %s %d %08x\n", a.Verb, a.ID, a.Service, a.Upstream, len(a.Body), crc32.ChecksumIEEE(a.Body))
	return append(b, a.Body...)
}

// ParseAnswer decodes an answer. It returns [ErrPartialAnswer] while bytes are
// missing and [ErrMalformedAnswer] if the content contradicts its header.
func ParseAnswer(b []byte) (Answer, error) {
	header, body, found := bytes.Cut(b, []byte("\n"))
	if !found {
		return Answer{}, ErrPartialAnswer
	}
	f := strings.Fields(string(header))
	if len(f) < 6 {
		return Answer{}, ErrMalformedAnswer
	}
	a := Answer{Verb: f[1], ID: f[2], Service: f[3], Upstream: f[4]}
	if f[0] == "refused" {
		a.Refusal = f[5]
		return a, nil
	}
	var size int
	var sum uint32
	if _, err := fmt.Sscanf(strings.Join(f[5:], " "), "%d %x", &size, &sum); err != nil || f[0] != "ok" || len(body) > size {
		return Answer{}, ErrMalformedAnswer
	}
	if len(body) < size {
		return a, ErrPartialAnswer
	}
	if crc32.ChecksumIEEE(body) != sum {
		return Answer{}, ErrMalformedAnswer
	}
	a.Body = body
	return a, nil
}

// FeedMessage is one message of a feed. Messages are numbered from 1.
type FeedMessage struct {
	ID, Service, Upstream string
	Number                int
}

// Format returns the message as a line.
func (m FeedMessage) Format() []byte {
	return fmt.Appendf(nil, "feed %s %s %s %d\n", m.ID, m.Service, m.Upstream, m.Number)
}

// ParseFeedMessage decodes a line without its newline.
func ParseFeedMessage(line string) (FeedMessage, error) {
	var m FeedMessage
	if _, err := fmt.Sscanf(line, "feed %s %s %s %d", &m.ID, &m.Service, &m.Upstream, &m.Number); err != nil {
		return m, ErrMalformedAnswer
	}
	return m, nil
}
