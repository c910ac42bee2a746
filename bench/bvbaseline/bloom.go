package bvbaseline

import (
	"encoding/binary"

	"balsamvane/bench/bvload"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// bloom is a Bloom filter (Bloom, 1970). It derives its hashes from the two
// halves of a flow key by double hashing, since the key is a hash already.
type bloom struct {
	bits   []uint64
	size   uint64
	hashes int
}

func newBloom(entries, bitsPerEntry int) *bloom {
	n := uint64(max(entries*bitsPerEntry, 64))
	// The optimal number of hashes is ln 2 x bits per entry.
	return &bloom{bits: make([]uint64, (n+63)/64), size: n, hashes: max(bitsPerEntry*69/100, 1)}
}

// eachBit calls f with each bit of the key until f returns false. It reports
// whether all calls returned true.
func (b *bloom) eachBit(k bvflow.Key, f func(word int, bit uint64) bool) bool {
	x, y := binary.BigEndian.Uint64(k[:8]), binary.BigEndian.Uint64(k[8:])|1
	for i := range b.hashes {
		at := (x + uint64(i)*y) % b.size
		if !f(int(at/64), 1<<(at%64)) {
			return false
		}
	}
	return true
}

func (b *bloom) add(k bvflow.Key) {
	b.eachBit(k, func(w int, bit uint64) bool { b.bits[w] |= bit; return true })
}

func (b *bloom) mayContain(k bvflow.Key) bool {
	return b.eachBit(k, func(w int, bit uint64) bool { return b.bits[w]&bit != 0 })
}

// BloomResult compares Bloom filters with the exact list. There is one filter
// for each upstream, since a lookup has to return the upstream.
type BloomResult struct {
	Exceptions    int
	BitsPerEntry  int
	FilterBytes   int
	ListBytes     int
	Queried       int // Open flows that are not exceptions.
	FalsePositive int // Queried flows that match the filter of another upstream.
}

// CompareBloom builds the filters from the open exceptions and queries them for
// all other open flows. A false positive sends a flow to a wrong upstream, which
// breaks it.
func CompareBloom(c bvconfig.Config, l *bvload.Load, bitsPerEntry int) BloomResult {
	h := bvflow.NewHasher(c.HashSeed)
	byUpstream := map[bvconfig.UpstreamID][]bvflow.Key{}
	r := BloomResult{BitsPerEntry: bitsPerEntry}
	l.EachOpen(func(f *bvload.Flow) {
		if f.Exception {
			byUpstream[f.Upstream] = append(byUpstream[f.Upstream], h.Key(f.Tuple))
			r.Exceptions++
		}
	})
	filters := map[int]map[bvconfig.UpstreamID]*bloom{}
	for i, s := range c.Services {
		filters[i] = map[bvconfig.UpstreamID]*bloom{}
		for _, u := range c.Upstreams {
			if u.Service != s.Name {
				continue
			}
			b := newBloom(len(byUpstream[u.ID()]), bitsPerEntry)
			for _, k := range byUpstream[u.ID()] {
				b.add(k)
			}
			filters[i][u.ID()] = b
			r.FilterBytes += len(b.bits) * 8
		}
	}
	r.ListBytes = r.Exceptions * recordBytes
	l.EachOpen(func(f *bvload.Flow) {
		if f.Exception {
			return
		}
		r.Queried++
		k := h.Key(f.Tuple)
		for u, b := range filters[f.Service] {
			if u != f.Upstream && b.mayContain(k) {
				r.FalsePositive++
				return
			}
		}
	})
	return r
}
