// Package bvstandpublish writes a configuration into the directory of the
// platform stand-in, in the published format: parts under content-addressed
// keys, a manifest that lists them, and the list of VMs.
//
// # Usage
//
//	err := bvstandpublish.Publish(dir, "serena", 2, fragment, bvstandpublish.Change{ZonesOutOfService: []string{"a"}})
//
// A fragment is the JSON object described in section 8 of the design page.
package bvstandpublish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
)

// Fragment is a configuration in its published form. Only the fields that a
// [Change] touches are interpreted.
type Fragment struct {
	HashSeed  *uint64          `json:"hashSeed,omitempty"`
	Zones     []map[string]any `json:"zones,omitempty"`
	Services  []map[string]any `json:"services,omitempty"`
	Upstreams []map[string]any `json:"upstreams,omitempty"`
	Balancers []map[string]any `json:"balancers,omitempty"`
}

// Change is an operator's change of a configuration.
type Change struct {
	ZonesOutOfService []string   // Zones out of service; all others are in service.
	Leaving           []string   // VMs that drain.
	Removed           []string   // VMs that the configuration no longer lists.
	Added             []Fragment // Entries to add.
}

type manifest struct {
	Group    string `json:"group"`
	Revision uint64 `json:"revision"`
	Parts    []part `json:"parts"`
}

type part struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
	Size   int    `json:"size"`
}

type vm struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Apply returns the fragment with the change applied. The entries of f are
// modified in place.
func (f Fragment) Apply(c Change) Fragment {
	for _, a := range c.Added {
		f.Zones = slices.Concat(f.Zones, a.Zones)
		f.Services = slices.Concat(f.Services, a.Services)
		f.Upstreams = slices.Concat(f.Upstreams, a.Upstreams)
		f.Balancers = slices.Concat(f.Balancers, a.Balancers)
	}
	for _, z := range f.Zones {
		z["outOfService"] = containsName(c.ZonesOutOfService, z)
	}
	removed := func(v map[string]any) bool { return containsName(c.Removed, v) }
	f.Upstreams = slices.DeleteFunc(slices.Clone(f.Upstreams), removed)
	f.Balancers = slices.DeleteFunc(slices.Clone(f.Balancers), removed)
	for _, v := range slices.Concat(f.Upstreams, f.Balancers) {
		if containsName(c.Leaving, v) {
			v["leaving"] = true
		}
	}
	return f
}

func containsName(l []string, v map[string]any) bool {
	name, _ := v["name"].(string)
	return slices.Contains(l, name)
}

// Publish applies the change to the fragment and writes the result: the parts,
// then the VM list, and the manifest last.
func Publish(dir, group string, revision uint64, f Fragment, c Change) error {
	f = f.Apply(c)
	m := manifest{Group: group, Revision: revision}
	base := filepath.Join(dir, "groups", group)
	for _, p := range []Fragment{
		{HashSeed: f.HashSeed, Zones: f.Zones, Services: f.Services},
		{Upstreams: f.Upstreams},
		{Balancers: f.Balancers},
	} {
		b, err := json.Marshal(p)
		if err != nil {
			return eris.Wrap(err, "bvstandpublish: encode a part")
		}
		digest := sha256.Sum256(b)
		name := hex.EncodeToString(digest[:])
		m.Parts = append(m.Parts, part{Key: "groups/" + group + "/parts/" + name, SHA256: name, Size: len(b)})
		if err := replaceFile(dir, filepath.Join(base, "parts", name), b); err != nil {
			return err
		}
	}
	for path, v := range map[string]any{"vms": map[string]any{"vms": f.vms(c)}} {
		b, err := json.Marshal(v)
		if err != nil {
			return eris.Wrap(err, "bvstandpublish: encode "+path)
		}
		if err := replaceFile(dir, filepath.Join(base, path), b); err != nil {
			return err
		}
	}
	b, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "bvstandpublish: encode the manifest")
	}
	return replaceFile(dir, filepath.Join(base, "manifest"), b)
}

func (f Fragment) vms(c Change) []vm {
	l := []vm{}
	for _, v := range slices.Concat(f.Upstreams, f.Balancers) {
		name, _ := v["name"].(string)
		state := "live"
		if leaving, _ := v["leaving"].(bool); leaving {
			state = "leaving"
		}
		l = append(l, vm{Name: name, State: state})
	}
	for _, name := range c.Removed {
		l = append(l, vm{Name: name, State: "gone"})
	}
	return l
}

// replaceFile replaces the content of a file atomically. The temporary file is
// outside of dir, so that the platform does not serve it as a value.
func replaceFile(dir, path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return eris.Wrap(err, "bvstandpublish: create a directory")
	}
	t, err := os.CreateTemp(filepath.Dir(filepath.Clean(dir)), "publish-")
	if err != nil {
		return eris.Wrap(err, "bvstandpublish: create a temporary file")
	}
	_, err = t.Write(b)
	if err2 := t.Close(); err == nil {
		err = err2
	}
	if err == nil {
		err = os.Rename(t.Name(), path)
	}
	return eris.Wrap(err, "bvstandpublish: replace a file")
}
