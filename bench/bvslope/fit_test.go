package bvslope

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFit guards against wrong slopes, which docs/CAPACITY.md reports.
func TestFit(t *testing.T) {
	points := []Point{{Size: 1, Sent: 5}, {Size: 2, Sent: 7}, {Size: 4, Sent: 11}}
	slope, constant := Fit(points, func(p Point) float64 { return p.Sent })
	assert.InDelta(t, 2, slope, 1e-9)
	assert.InDelta(t, 3, constant, 1e-9)
}
