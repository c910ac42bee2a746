package bvplatform

import (
	"strings"
	"testing"

	"balsamvane/core/bvnode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecodeVMs guards against states that are decoded wrongly, which would
// discard live flows, and against a list that is ignored because another writer has
// written odd entries.
func TestDecodeVMs(t *testing.T) {
	got, err := DecodeVMs([]byte(`{"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"},{"name":"c","state":"gone"}]}`))
	require.NoError(t, err)
	assert.Equal(t, bvnode.VMListRead{VMs: []bvnode.VM{
		{Name: "a", State: bvnode.VMLive},
		{Name: "b", State: bvnode.VMLeaving},
		{Name: "c", State: bvnode.VMRemoved},
	}}, got)
	gone, odd := bvnode.VM{Name: "c", State: bvnode.VMRemoved}, bvnode.VM{Name: "a", State: bvnode.VMUnknown}
	for _, entry := range []string{
		`{"name":"a","state":"asleep"}`, `{"name":"a"}`, `{"name":"a","state":7}`, `{"name":"a","state":null}`,
		`{"name":"a","state":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		`{"name":"a","state":` + strings.Repeat("9", 1<<20) + `}`,
	} {
		got, err := DecodeVMs([]byte(`{"vms":[` + entry + `,{"name":"c","state":"gone"}]}`))
		require.NoError(t, err)
		assert.Equal(t, bvnode.VMListRead{VMs: []bvnode.VM{odd, gone}}, got)
	}
	for _, entry := range []string{
		`7`, `null`, `[]`, `{"state":"gone"}`, `{"name":"","state":"gone"}`, `{"name":7,"state":"gone"}`,
		`{"name":"` + strings.Repeat("a", maxVMNameBytes+1) + `","state":"gone"}`,
	} {
		got, err := DecodeVMs([]byte(`{"vms":[` + entry + `,{"name":"c","state":"gone"}]}`))
		require.NoError(t, err)
		assert.Equal(t, bvnode.VMListRead{VMs: []bvnode.VM{gone}, Unnamed: 1}, got, entry)
	}
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
