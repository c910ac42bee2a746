package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"

	"balsamvane/core/bvfinding"
	"balsamvane/core/bvregister"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// importResult is the result for one group, as printed with --output json.
type importResult struct {
	Group    string `json:"group"`
	Revision uint64 `json:"revision"`
	Changed  bool   `json:"changed"`
	Parts    int    `json:"parts"`
	Bytes    int    `json:"bytes"`
}

func newImportCommand() *cobra.Command {
	var register, rules, directory string
	var format outputFormat
	c := &cobra.Command{
		Use:   "import --register FILE --rules FILE -o DIR",
		Short: "Turn a register and rules into values to publish",
		Long: `Import reads an asset register (CSV) and rules (YAML) and writes the values to
publish below DIR, one file for each key of the platform:

  DIR/groups/<group>/parts/<sha256>
  DIR/groups/<group>/manifest

The same input gives the same bytes. The revision of a group is one above that
of the manifest in DIR if the content differs, and stays the same otherwise.
Publish the parts first and the manifest last.

If the input has problems, all of them are listed with file, line and column,
nothing is written, and the exit status is 1.`,
		Example: `  balsamvane import --register register.csv --rules rules.yaml -o published
  balsamvane import --register register.csv --rules rules.yaml -o published --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runImport(c.OutOrStdout(), format, register, rules, directory)
		},
	}
	c.Flags().StringVar(&register, "register", "", "asset register (CSV)")
	c.Flags().StringVar(&rules, "rules", "", "rules (YAML)")
	c.Flags().StringVarP(&directory, "out", "o", "", "directory for the values to publish")
	completeFiles(c)
	format.addTo(c)
	requireFlags(c, "register", "rules", "out")
	return c
}

func runImport(w io.Writer, format outputFormat, register, rules, directory string) error {
	b, l, err := importFiles(register, rules, directory)
	if err != nil {
		return err
	}
	if !l.Empty() {
		return printFindings(w, format, l)
	}
	results := make([]importResult, 0, len(b.Groups))
	for _, g := range b.Groups {
		if err := writeGroup(directory, g); err != nil {
			return err
		}
		r := importResult{g.Config.Group, g.Config.Version.Revision, g.Changed, len(g.Parts), len(g.Manifest)}
		for _, p := range g.Parts {
			r.Bytes += len(p)
		}
		results = append(results, r)
	}
	if format == outputJSON {
		return printJSON(w, results)
	}
	t := newTable("GROUP", "REVISION", "CHANGED", "PARTS", "BYTES")
	for _, r := range results {
		t.row(r.Group, r.Revision, yesNo(r.Changed), r.Parts, r.Bytes)
	}
	return t.print(w)
}

// importFiles imports the files. The values in directory are the previous
// state, from which revisions are counted.
func importFiles(register, rules, directory string) (bvregister.Bundle, bvfinding.List, error) {
	var b bvregister.Bundle
	var l bvfinding.List
	registerSource, err := readSource(register)
	if err != nil {
		return b, l, err
	}
	rulesSource, err := readSource(rules)
	if err != nil {
		return b, l, err
	}
	previous, err := readPrevious(directory)
	if err != nil {
		return b, l, err
	}
	b, l = bvregister.Import(registerSource, rulesSource, previous)
	return b, l, nil
}

func readSource(file string) (bvregister.Source, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return bvregister.Source{}, eris.Wrap(err, "read input")
	}
	return bvregister.Source{Name: file, Content: content}, nil
}

// readPrevious returns the groups published in directory, each with its
// manifest and its parts, if it has any.
func readPrevious(directory string) (map[string]bvregister.Published, error) {
	previous, err := readManifests(directory)
	if err != nil {
		return nil, err
	}
	for g, p := range previous {
		parts, err := readParts(directory, g)
		if err != nil {
			return nil, err
		}
		if len(parts) > 0 {
			p.Parts = parts
			previous[g] = p
		}
	}
	return previous, nil
}

// readManifests returns the manifests below directory by group.
func readManifests(directory string) (map[string]bvregister.Published, error) {
	out := map[string]bvregister.Published{}
	if directory == "" {
		return out, nil
	}
	entries, err := os.ReadDir(filepath.Join(directory, "groups"))
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the published groups")
	}
	for _, e := range entries {
		file := filepath.Join(directory, "groups", e.Name(), "manifest")
		m, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "read a published manifest")
		}
		out[e.Name()] = bvregister.Published{File: file, Manifest: m}
	}
	return out, nil
}

// writeGroup writes the parts, then the manifest, and then removes the parts
// that neither this nor the previous manifest lists. In this order, a reader
// of the directory never sees a manifest without its parts. If the content has
// not changed, it writes the parts only.
func writeGroup(directory string, g bvregister.Group) error {
	folder := filepath.Join(directory, "groups", g.Config.Group)
	if err := os.MkdirAll(filepath.Join(folder, "parts"), 0o755); err != nil {
		return eris.Wrap(err, "create the output directory")
	}
	previous, err := os.ReadFile(filepath.Join(folder, "manifest"))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "read the previous manifest")
	}
	for key, content := range g.Parts {
		if err := writeFile(filepath.Join(directory, filepath.FromSlash(key)), content); err != nil {
			return err
		}
	}
	if !g.Changed {
		return nil
	}
	if err := writeFile(filepath.Join(folder, "manifest"), g.Manifest); err != nil {
		return err
	}
	return removeOldParts(folder, string(previous)+string(g.Manifest))
}

// writeFile replaces a file atomically: it writes a temporary file and renames
// it, so a reader sees either the old or the new content.
func writeFile(file string, content []byte) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return eris.Wrap(err, "write output")
	}
	return eris.Wrap(os.Rename(temporary, file), "write output")
}

var hexDigest = regexp.MustCompile(`[0-9a-f]{64}`)

func removeOldParts(folder, manifests string) error {
	keep := map[string]bool{}
	for _, sum := range hexDigest.FindAllString(manifests, -1) {
		keep[sum] = true
	}
	entries, err := os.ReadDir(filepath.Join(folder, "parts"))
	if err != nil {
		return eris.Wrap(err, "list the parts")
	}
	for _, e := range entries {
		if len(e.Name()) != 64 || !hexDigest.MatchString(e.Name()) || keep[e.Name()] {
			continue
		}
		if err := os.Remove(filepath.Join(folder, "parts", e.Name())); err != nil {
			return eris.Wrap(err, "remove a part that is not listed any more")
		}
	}
	return nil
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatShare formats a share from 0 to 1 as a percentage.
func formatShare(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }
