// Package bvregister turns an asset register (CSV) and a few rules (YAML) into
// the published configuration of one or more groups, and reports what a change
// of configuration does to flows.
//
// The package does no I/O: it reads [Source] values and returns the values to
// publish as a [Bundle]. The same input always gives the same bytes, and the
// revision of a group grows only when its content differs from what was
// published before.
//
// # Usage
//
//	b, findings := bvregister.Import(
//		bvregister.Source{Name: "register.csv", Content: register},
//		bvregister.Source{Name: "rules.yaml", Content: rules},
//		previous)
//	if !findings.Empty() {
//		return findings.Err() // every problem with file, line and column
//	}
//	for _, g := range b.Groups {
//		// publish g.Parts first and g.Manifest last
//	}
//
// The columns of the register and the keys of the rules are described in
// docs/register.md.
package bvregister

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
)

// Source is an input file. Name appears in findings.
type Source struct {
	Name    string
	Content []byte
}

// Published is the previous publication of a group.
type Published struct {
	File     string // Name of the manifest's file; appears in findings.
	Manifest []byte
	// Parts holds the published parts by platform key. If it is nil, changes
	// that depend on the earlier content are not checked.
	Parts map[string][]byte
}

// Bundle holds the groups to publish after an import.
type Bundle struct {
	Groups []Group // Ordered by name.
}

// Group is the published form of one group's configuration.
type Group struct {
	Config   bvconfig.Config
	Manifest []byte
	Parts    map[string][]byte // The key is the platform key.
	// Changed reports whether the content differs from the previous publication.
	Changed bool
}

// Import reads the register and the rules and returns what to publish for each
// group. previous holds the previous publications by group name; a group that
// is absent starts at revision 1. If there are findings, the bundle is
// empty and nothing may be published.
func Import(register, rules Source, previous map[string]Published) (Bundle, bvfinding.List) {
	var l bvfinding.List
	r, ok := readRules(rules, &l)
	if !ok {
		return Bundle{}, l
	}
	rows, ok := readRegister(register, r, &l)
	if !ok {
		return Bundle{}, l // Rows cannot be checked without columns.
	}
	configs := build(register.Name, rows, r, publishedVNIs(previous, &l), &l)
	if !l.Empty() {
		return Bundle{}, l
	}
	var b Bundle
	for _, c := range configs {
		g := publish(c, previous, register.Name, &l)
		b.Groups = append(b.Groups, g)
	}
	if !l.Empty() {
		return Bundle{}, l
	}
	return b, l
}

// publishedVNIs returns the service of each VNI in the previous publications.
func publishedVNIs(previous map[string]Published, l *bvfinding.List) map[uint32]string {
	vnis := map[uint32]string{}
	for _, n := range slices.Sorted(maps.Keys(previous)) {
		p := previous[n]
		if p.Parts == nil {
			continue
		}
		c, found := bvconfig.Decode(p.Manifest, p.Parts)
		if !found.Empty() {
			l.Add(bvfinding.Place{File: p.File}, "the published values of group "+quote(n)+" cannot be read: "+found.Sorted()[0].Problem,
				"copy the manifest and its parts back from the platform")
		}
		for _, s := range c.Services {
			vnis[s.VNI] = s.Name
		}
	}
	return vnis
}

// manifest holds the fields of a published manifest that determine the next
// revision.
type manifest struct {
	Group    string `json:"group"`
	Revision uint64 `json:"revision"`
	Parts    []struct {
		Key string `json:"key"`
	} `json:"parts"`
}

// publish encodes c with the revision that follows from the previous
// publication.
func publish(c bvconfig.Config, previous map[string]Published, file string, l *bvfinding.List) Group {
	place := bvfinding.Place{File: file}
	c.Version.Revision = 1
	p, known := previous[c.Group]
	var old manifest
	if known {
		place.File = p.File
		if err := json.Unmarshal(p.Manifest, &old); err != nil || old.Revision == 0 || old.Group != c.Group {
			l.Add(place, "the published manifest of group "+quote(c.Group)+" cannot be read, so the next revision is not known",
				"copy the manifest back from the platform; a revision below the published one would be ignored by the balancers")
			return Group{}
		}
		c.Version.Revision = old.Revision
	}
	g, ok := encode(c, place, l)
	if !ok {
		return Group{}
	}
	g.Changed = !known || !sameParts(old, g.Parts)
	if known && g.Changed {
		c.Version.Revision++
		g, ok = encode(c, place, l)
		g.Changed = ok
	}
	return g
}

// encode validates and encodes c.
func encode(c bvconfig.Config, place bvfinding.Place, l *bvfinding.List) (Group, bool) {
	if v := bvconfig.Validate(c); !v.Empty() {
		for _, f := range v.Sorted() {
			l.Add(bvfinding.Place{File: cmp.Or(f.File, place.File), Line: f.Line, Column: f.Column},
				"group "+quote(c.Group)+": "+f.Problem, f.Remedy)
		}
		return Group{}, false
	}
	m, parts, err := bvconfig.Encode(c, bvconfig.MaxPartBytes)
	if err != nil {
		l.Add(place, "group "+quote(c.Group)+" cannot be encoded: "+err.Error(), "split the group or shorten its names")
		return Group{}, false
	}
	return Group{Config: c, Manifest: m, Parts: parts}, true
}

// sameParts reports whether the manifest lists exactly the given parts. Parts
// are named by their content, so equal names mean equal content.
func sameParts(m manifest, parts map[string][]byte) bool {
	keys := make([]string, 0, len(m.Parts))
	for _, p := range m.Parts {
		keys = append(keys, p.Key)
	}
	slices.Sort(keys)
	return slices.Equal(keys, slices.Sorted(maps.Keys(parts)))
}
