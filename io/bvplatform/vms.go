package bvplatform

import (
	"encoding/json"

	"balsamvane/core/bvnode"

	"github.com/rotisserie/eris"
)

// vms is the published list of VMs. Its entries are decoded one by one, since another
// writer may have written some of them.
type vms struct {
	VMs []json.RawMessage `json:"vms"`
}

// vm is an entry of the list. Each field is decoded on its own.
type vm struct {
	Name  json.RawMessage `json:"name"`
	State json.RawMessage `json:"state"`
}

// maxVMNameBytes limits the name of a VM, which is logged.
const maxVMNameBytes = 256

var vmStates = map[string]bvnode.VMState{"live": bvnode.VMLive, "leaving": bvnode.VMLeaving, "gone": bvnode.VMRemoved}

// DecodeVMs decodes the platform's list of VMs. An entry that cannot be read does not
// affect the others: its state is unknown, or it counts as unnamed.
func DecodeVMs(b []byte) (bvnode.VMListRead, error) {
	var w vms
	if err := json.Unmarshal(b, &w); err != nil {
		return bvnode.VMListRead{}, eris.Wrap(err, "bvplatform: decoding list of VMs")
	}
	out := bvnode.VMListRead{VMs: make([]bvnode.VM, 0, len(w.VMs))}
	for _, raw := range w.VMs {
		name, state, ok := decodeVM(raw)
		if !ok {
			out.Unnamed++
			continue
		}
		out.VMs = append(out.VMs, bvnode.VM{Name: name, State: state})
	}
	return out, nil
}

// decodeVM decodes an entry; ok is false if its name cannot be read. A state that
// cannot be read is unknown: taking it for a known one could discard live flows.
func decodeVM(raw json.RawMessage) (name string, state bvnode.VMState, ok bool) {
	var w vm
	if json.Unmarshal(raw, &w) != nil || json.Unmarshal(w.Name, &name) != nil || name == "" || len(name) > maxVMNameBytes {
		return "", bvnode.VMUnknown, false
	}
	var s string
	if json.Unmarshal(w.State, &s) != nil {
		return name, bvnode.VMUnknown, true
	}
	if state, ok = vmStates[s]; !ok {
		state = bvnode.VMUnknown
	}
	return name, state, true
}
