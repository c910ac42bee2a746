package bvconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"balsamvane/core/bvfinding"
)

// reader decodes one JSON document and collects findings with their position.
// It continues after an invalid value, so that one pass reports all of them;
// only a syntax error stops it.
type reader struct {
	file     string
	data     []byte
	dec      *json.Decoder
	findings *bvfinding.List
	failed   bool // A syntax error was found; nothing more is read.
}

func newReader(file string, data []byte, l *bvfinding.List) *reader {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return &reader{file: file, data: data, dec: d, findings: l}
}

// place converts an offset to a line and column, both counted from 1.
func (r *reader) place(offset int) bvfinding.Place {
	offset = min(max(offset, 0), len(r.data))
	before := r.data[:offset]
	return bvfinding.Place{
		File:   r.file,
		Line:   bytes.Count(before, []byte{'\n'}) + 1,
		Column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

func (r *reader) add(offset int, problem, remedy string) {
	r.findings.Add(r.place(offset), problem, remedy)
}

// nextOffset returns the offset of the next token.
func (r *reader) nextOffset() int {
	o := int(r.dec.InputOffset())
	for o < len(r.data) && bytes.IndexByte([]byte(" \t\r\n,:"), r.data[o]) >= 0 {
		o++
	}
	return o
}

func (r *reader) fail(err error) {
	if r.failed {
		return
	}
	r.failed = true
	// The offsets in a Decoder's errors are not those of the document, so the
	// first error is located by decoding the document as a whole.
	var m json.RawMessage
	var s *json.SyntaxError
	wholeErr := json.Unmarshal(r.data, &m)
	if errors.As(wholeErr, &s) && s.Error() != "unexpected end of JSON input" {
		r.add(int(s.Offset)-1, fmt.Sprintf("JSON syntax: %v", wholeErr), "correct the syntax")
		return
	}
	if wholeErr == nil {
		r.add(r.nextOffset(), fmt.Sprintf("JSON syntax: %v", err), "correct the syntax")
		return
	}
	r.add(len(r.data), "the document ends too early", "publish the whole document")
}

func (r *reader) token() json.Token {
	if r.failed {
		return nil
	}
	t, err := r.dec.Token()
	if err != nil {
		r.fail(err)
		return nil
	}
	return t
}

func (r *reader) skip() {
	if r.failed {
		return
	}
	var m json.RawMessage
	if err := r.dec.Decode(&m); err != nil {
		r.fail(err)
	}
}

// expect reports whether the next value begins with one of the given bytes.
// If it does not, the value is skipped and added to the findings.
func (r *reader) expect(with, want string) bool {
	if r.failed {
		return false
	}
	o := r.nextOffset()
	if o >= len(r.data) {
		r.fail(io.ErrUnexpectedEOF)
		return false
	}
	if bytes.IndexByte([]byte(with), r.data[o]) >= 0 {
		return true
	}
	r.skip()
	if !r.failed {
		r.add(o, "expected "+want, "write "+want)
	}
	return false
}

// end reports anything after the document.
func (r *reader) end() {
	if r.failed {
		return
	}
	o := r.nextOffset()
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		r.add(o, "text after the end of the document", "remove it")
	}
}

// object calls field for each field; field returns false for an unknown name,
// and must read the value otherwise.
func (r *reader) object(field func(name string) bool) {
	if !r.expect("{", "an object") {
		return
	}
	r.token()
	seen := make([]string, 0, 12)
	for !r.failed && r.dec.More() {
		o := r.nextOffset()
		name, ok := r.token().(string)
		if !ok {
			return
		}
		if slices.Contains(seen, name) {
			r.add(o, fmt.Sprintf("field %q appears twice", name), "keep one of them")
			r.skip()
			continue
		}
		seen = append(seen, name)
		if !field(name) {
			r.skip()
			r.add(o, fmt.Sprintf("unknown field %q", name), "remove it or correct its name")
		}
	}
	r.token()
}

func (r *reader) array(element func()) {
	if !r.expect("[", "a list") {
		return
	}
	r.token()
	for !r.failed && r.dec.More() {
		element()
	}
	r.token()
}

// text reads a string and returns it with its offset.
func (r *reader) text() (s string, offset int, ok bool) {
	offset = r.nextOffset()
	if !r.expect(`"`, "a string") {
		return "", offset, false
	}
	s, ok = r.token().(string)
	return s, offset, ok
}

func (r *reader) textTo(p *string) bool {
	if s, _, ok := r.text(); ok {
		*p = s
	}
	return true
}

func (r *reader) boolTo(p *bool) bool {
	if r.expect("tf", "true or false") {
		*p, _ = r.token().(bool)
	}
	return true
}

func (r *reader) number(parse func(s string) error, want string) bool {
	o := r.nextOffset()
	if !r.expect("-0123456789", want) {
		return true
	}
	n, ok := r.token().(json.Number)
	if ok && parse(n.String()) != nil {
		r.add(o, fmt.Sprintf("%s is not %s", n, want), "write "+want)
	}
	return true
}

func (r *reader) uint64To(p *uint64) bool {
	return r.number(func(s string) (err error) {
		*p, err = strconv.ParseUint(s, 10, 64)
		return err
	}, "a whole number of at most 64 bits")
}

func (r *reader) uint32To(p *uint32) bool {
	return r.number(func(s string) error {
		v, err := strconv.ParseUint(s, 10, 32)
		*p = uint32(v)
		return err
	}, "a whole number of at most 32 bits")
}

func (r *reader) floatTo(p *float64) bool {
	return r.number(func(s string) (err error) {
		*p, err = strconv.ParseFloat(s, 64)
		return err
	}, "a number")
}

func (r *reader) durationTo(p *time.Duration) bool {
	s, o, ok := r.text()
	if !ok {
		return true
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.add(o, fmt.Sprintf("%q is not a duration", s), `write a duration such as "90s" or "2h"`)
	}
	*p = d
	return true
}

func (r *reader) addressTo(p *netip.AddrPort) bool {
	s, o, ok := r.text()
	if !ok {
		return true
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.add(o, fmt.Sprintf("%q is not an address", s), "write an IP address and a port, such as 192.0.2.1:6081")
	}
	*p = a
	return true
}

// enumTo reads one of a fixed set of strings.
func enumTo[T any](r *reader, p *T, values map[string]T, want string) bool {
	s, o, ok := r.text()
	if !ok {
		return true
	}
	v, known := values[s]
	if !known {
		r.add(o, fmt.Sprintf("unknown value %q", s), "write "+want)
		return true
	}
	*p = v
	return true
}
