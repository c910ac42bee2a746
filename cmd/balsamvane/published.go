package main

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"

	"github.com/rotisserie/eris"
)

// readPublished reads the configurations of all groups in a directory that
// import wrote, by group name. It returns the findings of decoding and
// validation.
func readPublished(directory string) (map[string]bvconfig.Config, bvfinding.List, error) {
	var l bvfinding.List
	if _, err := os.Stat(directory); err != nil {
		return nil, l, eris.Wrap(err, "read published values")
	}
	manifests, err := readManifests(directory)
	if err != nil {
		return nil, l, err
	}
	if len(manifests) == 0 {
		l.Add(bvfinding.Place{File: directory}, "the directory holds no manifest", "name the directory that import wrote, the one with the directory groups in it")
	}
	configs := map[string]bvconfig.Config{}
	for _, group := range slices.Sorted(maps.Keys(manifests)) {
		parts, err := readParts(directory, group)
		if err != nil {
			return nil, l, err
		}
		c, findings := bvconfig.Decode(manifests[group].Manifest, parts)
		if findings.Empty() {
			findings = bvconfig.Validate(c)
		}
		for _, f := range findings.Sorted() {
			f.File = filepath.Join(directory, filepath.FromSlash(f.File))
			l.Add(f.Place, f.Problem, f.Remedy)
		}
		if findings.Empty() && c.Group != group {
			l.Add(bvfinding.Place{File: manifests[group].File}, "the manifest is of group "+c.Group, "move it to groups/"+c.Group)
		}
		configs[group] = c
	}
	return configs, l, nil
}

// readParts returns the parts of a group by their platform keys.
func readParts(directory, group string) (map[string][]byte, error) {
	parts := map[string][]byte{}
	folder := filepath.Join(directory, "groups", group, "parts")
	entries, err := os.ReadDir(folder)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, eris.Wrap(err, "list the parts")
	}
	for _, e := range entries {
		if len(e.Name()) != 64 || !hexDigest.MatchString(e.Name()) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, eris.Wrap(err, "read a part")
		}
		parts["groups/"+group+"/parts/"+e.Name()] = content
	}
	return parts, nil
}
