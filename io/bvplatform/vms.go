package bvplatform

import (
	"encoding/json"

	"balsamvane/core/bvnode"

	"github.com/rotisserie/eris"
)

// vms is the published list of VMs.
type vms struct {
	VMs []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"vms"`
}

// DecodeVMs decodes the platform's list of VMs. An unknown state is an error,
// since treating it as a known one could discard live flows.
func DecodeVMs(b []byte) ([]bvnode.VM, error) {
	var w vms
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrap(err, "bvplatform: decoding list of VMs")
	}
	out := make([]bvnode.VM, 0, len(w.VMs))
	for _, v := range w.VMs {
		m := bvnode.VM{Name: v.Name}
		switch v.State {
		case "live":
			m.State = bvnode.VMLive
		case "leaving":
			m.State = bvnode.VMLeaving
		case "gone":
			m.State = bvnode.VMRemoved
		default:
			return nil, eris.Errorf("bvplatform: VM %q has unknown state %q", v.Name, v.State)
		}
		out = append(out, m)
	}
	return out, nil
}
