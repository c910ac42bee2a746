package bvbaseline

import (
	"testing"

	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
)

// TestBloom guards against a filter that misses entries or matches all keys.
func TestBloom(t *testing.T) {
	h := bvflow.NewHasher(1)
	key := func(i int) bvflow.Key {
		return h.Key(bvflow.Tuple{Protocol: bvflow.Protocol(i % 256)})
	}
	b := newBloom(100, 10)
	for i := range 100 {
		b.add(key(i))
	}
	falsePositives := 0
	for i := range 256 {
		if i < 100 {
			assert.True(t, b.mayContain(key(i)))
		} else if b.mayContain(key(i)) {
			falsePositives++
		}
	}
	assert.Less(t, falsePositives, 16)
}
