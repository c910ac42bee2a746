package bvpick

import "math/bits"

// The logarithm table has 2^tableBits steps with linear interpolation between
// them. This keeps the absolute error of log2 below 2e-7, far below the
// resolution of any weight in use.
const (
	tableBits    = 10
	fractionBits = 56 // The integer part of a cost needs 7 bits.
)

// logTable holds log2(1+i/2^tableBits) in units of 2^-fractionBits. It is
// built with integers only, since math.Log2 may differ by a rounding between
// architectures.
var logTable = buildLogTable()

func buildLogTable() (t [1<<tableBits + 1]uint64) {
	for i := range 1 << tableBits {
		// x is 1+i/2^tableBits in units of 2^-63; each squaring yields one
		// binary digit of its logarithm.
		x := uint64(1)<<63 + uint64(i)<<(63-tableBits)
		var y uint64
		for range fractionBits {
			h, l := bits.Mul64(x, x)
			y <<= 1
			if h>>63 == 1 {
				y |= 1
				x = h
			} else {
				x = h<<1 | l>>63
			}
		}
		t[i] = y
	}
	t[1<<tableBits] = 1 << fractionBits
	return t
}

// cost returns -log2(u) for u = (h|1)/2^64, in units of 2^-fractionBits. It is
// at least 1, since a cost of 0 would cancel out the weight.
func cost(h uint64) uint64 {
	h |= 1
	zeros := bits.LeadingZeros64(h)
	fraction := h << zeros << 1 // The bits after the leading one.
	i := fraction >> (64 - tableBits)
	rest := fraction << tableBits
	step, _ := bits.Mul64(rest, logTable[i+1]-logTable[i])
	return max(uint64(zeros+1)<<fractionBits-(logTable[i]+step), 1)
}
