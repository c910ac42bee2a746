package bvrevision

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func first(number int64) Revision { return Revision{Era: 1, Number: number} }

func second(number int64) Revision { return Revision{Era: 2, Number: number} }

// TestRevision guards against numbers of two eras that are compared with each other.
func TestRevision(t *testing.T) {
	assert.True(t, first(5).After(first(4)))
	assert.False(t, first(5).After(first(5)))
	assert.True(t, second(1).After(first(9)))
	assert.False(t, first(9).After(second(1)))
	assert.Equal(t, second(1), Latest(first(9), second(1)))
	assert.Equal(t, second(1), Latest(second(1), first(9)))
	assert.Equal(t, "2/1", second(1).String())
}
