package bvsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"balsamvane/core/bvfinding"

	"go.yaml.in/yaml/v3"
)

// parser collects the settings and findings of one file.
type parser struct {
	file     string
	settings Settings
	findings bvfinding.List
	seen     map[string]*yaml.Node
}

// Parse reads settings; file is the name for findings.
func Parse(file string, b []byte) (Settings, bvfinding.List) {
	p := &parser{file: file, settings: Default(), seen: map[string]*yaml.Node{}}
	d := yaml.NewDecoder(bytes.NewReader(b))
	var doc yaml.Node
	if err := d.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		p.syntax(err)
		return Settings{}, p.findings
	}
	var second yaml.Node
	if err := d.Decode(&second); err == nil {
		p.add(&second, "file has more than one document", "remove all but the first")
	} else if !errors.Is(err, io.EOF) {
		p.syntax(err)
	}
	if len(doc.Content) > 0 {
		p.mapping("", doc.Content[0])
	}
	p.finish()
	if !p.findings.Empty() {
		return Settings{}, p.findings
	}
	return p.settings, p.findings
}

func (p *parser) add(n *yaml.Node, problem, remedy string) {
	p.findings.Add(bvfinding.Place{File: p.file, Line: n.Line, Column: n.Column}, problem, remedy)
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// syntax turns an error of the YAML library, which gives its line in the text
// only, into a finding.
func (p *parser) syntax(err error) {
	place, problem := bvfinding.Place{File: p.file}, strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlLine.FindStringSubmatch(problem); m != nil {
		place.Line, _ = strconv.Atoi(m[1])
		problem = m[2]
	}
	p.findings.Add(place, "not valid YAML: "+problem, "")
}

// mapping reads the settings below prefix.
func (p *parser) mapping(prefix string, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		p.add(n, "expected names with values", "write \"name: value\" lines")
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		p.entry(prefix, n.Content[i], n.Content[i+1])
	}
}

func (p *parser) entry(prefix string, key, value *yaml.Node) {
	path := prefix + key.Value
	if p.seen[path] != nil {
		p.add(key, fmt.Sprintf("%q is set twice", path), fmt.Sprintf("remove it here or in line %d", p.seen[path].Line))
		return
	}
	p.seen[path] = value
	if i := slices.IndexFunc(fields, func(f field) bool { return f.path == path }); i >= 0 {
		if value.Kind == yaml.AliasNode {
			p.add(value, "aliases are not supported", "repeat the value")
			return
		}
		problem, remedy := set(fields[i].of(&p.settings), value)
		if problem == "" && fields[i].required && value.Kind == yaml.ScalarNode && value.Value == "" {
			problem, remedy = "value is empty", "write a text"
		}
		if problem != "" {
			p.add(value, fmt.Sprintf("%s: %s", path, problem), remedy)
		} else if c := fields[i].check; c != nil {
			if problem := c(&p.settings); problem != "" {
				p.add(value, fmt.Sprintf("%s: %s", path, problem), "")
			}
		}
		return
	}
	if slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.path, path+".") }) {
		p.mapping(path+".", value)
		return
	}
	p.add(key, fmt.Sprintf("unknown setting %q", path), "known here are "+strings.Join(names(prefix), ", "))
}

// names returns the names of the settings directly below prefix.
func names(prefix string) []string {
	var out []string
	for _, f := range fields {
		rest, ok := strings.CutPrefix(f.path, prefix)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// finish checks what concerns several settings.
func (p *parser) finish() {
	for _, f := range fields {
		unused := f.only != "" && f.only != p.settings.Encapsulation
		if f.required && !unused && p.seen[f.path] == nil {
			place := bvfinding.Place{File: p.file}
			if group, _, nested := strings.Cut(f.path, "."); nested && p.seen[group] != nil {
				place.Line, place.Column = p.seen[group].Line, p.seen[group].Column
			}
			p.findings.Add(place, fmt.Sprintf("setting %q is missing", f.path), "")
		}
	}
	t := p.settings.TLS
	if t == (TLS{}) {
		return
	}
	for name, v := range map[string]string{"certificate": t.Certificate, "key": t.Key, "authority": t.Authority} {
		if v == "" {
			p.add(p.seen["tls"], fmt.Sprintf("setting \"tls.%s\" is missing", name), "set all of certificate, key and authority, or none")
		}
	}
}
