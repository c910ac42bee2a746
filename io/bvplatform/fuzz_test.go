package bvplatform

import (
	"testing"

	"balsamvane/core/bvnode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecodeVMs guards against states that are decoded wrongly, which would
// discard live flows.
func TestDecodeVMs(t *testing.T) {
	got, err := DecodeVMs([]byte(`{"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"},{"name":"c","state":"gone"}]}`))
	require.NoError(t, err)
	assert.Equal(t, []bvnode.VM{
		{Name: "a", State: bvnode.VMLive},
		{Name: "b", State: bvnode.VMLeaving},
		{Name: "c", State: bvnode.VMRemoved},
	}, got)
	_, err = DecodeVMs([]byte(`{"vms":[{"name":"a","state":"asleep"}]}`))
	require.Error(t, err)
}

// FuzzDecodeVMs guards against panics on any list of VMs.
func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","state":"live"}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = DecodeVMs(b) })
}

// FuzzCheck guards against panics on any manifest.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"parts":[{"key":"k","sha256":"00","size":1}]}`), []byte("x"))
	f.Fuzz(func(_ *testing.T, manifest, part []byte) {
		_ = Bundle{Manifest: manifest, Parts: map[string][]byte{"k": part}}.Check()
	})
}
