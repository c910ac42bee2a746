package bvnode

import (
	"testing"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// TestUnreadableVMs guards against an upstream whose flows are discarded because its
// entry in the list of VMs cannot be read, and against an upstream that is kept for ever
// because another entry cannot be.
func TestUnreadableVMs(t *testing.T) {
	tests := []struct {
		name string
		list VMListRead
		kept bool
	}{
		{"live", VMListRead{VMs: []VM{{"a", VMLive}}}, true},
		{"removed", VMListRead{VMs: []VM{{"a", VMRemoved}}}, false},
		{"not listed", VMListRead{VMs: []VM{{"b", VMLive}}}, false},
		{"state cannot be read", VMListRead{VMs: []VM{{"a", VMUnknown}}}, true},
		{"not listed by a readable name", VMListRead{VMs: []VM{{"b", VMLive}}, Unnamed: 1}, true},
		{"removed, and another name cannot be read", VMListRead{VMs: []VM{{"a", VMRemoved}}, Unnamed: 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := bvconfig.Upstream{Name: "a"}
			n := &Node{retired: map[bvconfig.UpstreamID]bvconfig.Upstream{u.ID(): u}}
			n.dropRemovedVMs()
			assert.Len(t, n.retired, 1, "before the list has been read")
			n.updateVMs(tt.list)
			assert.Equal(t, tt.kept, len(n.retired) == 1)
		})
	}
}
