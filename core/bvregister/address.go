package bvregister

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"balsamvane/core/bvfinding"
)

// genevePort is the UDP port that RFC 8926 assigns to Geneve. It is the
// default port of a VM row.
const genevePort = 6081

const nameRemedy = "use letters, digits, '.', '_' and '-', at most 100 of them, starting with a letter or digit"

// validName reports whether s can be used in a platform key and as a file
// name.
func validName(s string) bool {
	if len(s) == 0 || len(s) > 100 {
		return false
	}
	for i, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

func quote(s string) string { return strconv.Quote(s) }

// name reads a name; ok is false if a finding was added.
func (b *builder) name(w *row, c int, what string) (string, bool) {
	s := w.text(c)
	if s == "" {
		b.add(w, c, what+" is missing", "write the name of the "+what)
		return "", false
	}
	if !validName(s) {
		b.add(w, c, what+" "+quote(s)+" is not a valid name", nameRemedy)
		return "", false
	}
	return s, true
}

// endpoint reads the address and port columns. The address may include the
// port. A fallback of 0 makes the port mandatory.
func (b *builder) endpoint(w *row, fallback uint16) (netip.AddrPort, bool) {
	text := w.text(colAddress)
	if text == "" {
		b.add(w, colAddress, "the address is missing", "write an IP address")
		return netip.AddrPort{}, false
	}
	if a, err := netip.ParseAddrPort(text); err == nil && w.text(colPort) == "" {
		return b.checkUnicast(w, colAddress, a)
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		b.add(w, colAddress, quote(text)+" is not an IP address", "write an address such as 192.0.2.10 or 2001:db8::10; host names are not looked up")
		return netip.AddrPort{}, false
	}
	port := uint64(fallback)
	if p := w.text(colPort); p != "" || fallback == 0 {
		if port, err = strconv.ParseUint(p, 10, 16); err != nil || port == 0 {
			b.add(w, colPort, quote(p)+" is not a port", "write a number from 1 to 65535")
			return netip.AddrPort{}, false
		}
	}
	return b.checkUnicast(w, colAddress, netip.AddrPortFrom(a, uint16(port)))
}

// checkUnicast rejects addresses to which no packet can be sent.
func (b *builder) checkUnicast(w *row, c int, a netip.AddrPort) (netip.AddrPort, bool) {
	ip := a.Addr().Unmap()
	if ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || a.Port() == 0 {
		b.add(w, c, quote(a.String())+" cannot be used as an address", "write a unicast IP address without a scope, and a port above 0")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, a.Port()), true
}

// optionalEndpoint reads an ip:port column; an empty one gives fallback.
func (b *builder) optionalEndpoint(w *row, c int, fallback netip.AddrPort) netip.AddrPort {
	text := w.text(c)
	if text == "" {
		return fallback
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		b.add(w, c, quote(text)+" is not an address with a port", "write ip:port, such as 192.0.2.10:8080 or [2001:db8::10]:8080")
		return fallback
	}
	a, _ = b.checkUnicast(w, c, a)
	return a
}

// count reads a positive number column; an empty one gives fallback.
func (b *builder) count(w *row, c int, fallback uint32) uint32 {
	return b.number(w, c, fallback, math.MaxUint32)
}

func (b *builder) number(w *row, c int, fallback uint32, high uint64) uint32 {
	text := w.text(c)
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseUint(text, 10, 32)
	if err != nil || v == 0 || v > high {
		b.add(w, c, quote(text)+" is not a valid "+columnNames()[c], fmt.Sprintf("write a whole number from 1 to %d", high))
		return fallback
	}
	return uint32(v)
}

// add reports a problem of one field of the register.
func (b *builder) add(w *row, c int, problem, remedy string) {
	b.list.Add(b.place(w, c), problem, remedy)
}

func (b *builder) place(w *row, c int) bvfinding.Place {
	return bvfinding.Place{File: b.file, Line: int(w.line), Column: max(int(w.columns[c]), 1)}
}
