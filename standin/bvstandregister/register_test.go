package bvstandregister

import (
	"bytes"
	"encoding/csv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWrite guards against registers that differ between runs, or have
// missing or duplicate VMs and addresses.
func TestWrite(t *testing.T) {
	o := Options{Services: 3, Zones: 4, Regions: 2, Upstreams: 14, Balancers: 2, Seed: 1}
	var b, again bytes.Buffer
	require.NoError(t, Write(&b, o))
	require.NoError(t, Write(&again, o))
	assert.Equal(t, b.String(), again.String())
	rows, err := csv.NewReader(&b).ReadAll()
	require.NoError(t, err)
	require.Equal(t, Header, rows[0])
	roles, seen := map[string]int{}, map[string]bool{}
	for _, r := range rows[1:] {
		roles[r[4]]++
		assert.False(t, seen[r[5]], "address %s", r[5])
		assert.False(t, r[0] != "" && seen[r[0]], "VM %s", r[0])
		seen[r[5]], seen[r[0]] = true, true
	}
	assert.Equal(t, map[string]int{"service": 3, "upstream": 42, "balancer": 8}, roles)
}
