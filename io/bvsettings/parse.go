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

// Parse parses settings from YAML. file is the file name in findings.
func Parse(file string, b []byte) (Settings, bvfinding.List) {
	p := &parser{file: file, settings: Default(), seen: map[string]*yaml.Node{}}
	d := yaml.NewDecoder(bytes.NewReader(b))
	var doc yaml.Node
	if err := d.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		p.addSyntaxError(err)
		return Settings{}, p.findings
	}
	var second yaml.Node
	if err := d.Decode(&second); err == nil {
		p.addFinding(&second, "file has more than one document", "remove all but the first")
	} else if !errors.Is(err, io.EOF) {
		p.addSyntaxError(err)
	}
	if len(doc.Content) > 0 {
		p.readMapping("", doc.Content[0])
	}
	p.checkAcrossSettings()
	if !p.findings.Empty() {
		return Settings{}, p.findings
	}
	return p.settings, p.findings
}

func (p *parser) addFinding(n *yaml.Node, problem, remedy string) {
	p.findings.Add(bvfinding.Place{File: p.file, Line: n.Line, Column: n.Column}, problem, remedy)
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// addSyntaxError adds a finding for an error of the YAML library. The library
// reports the line only in the text of the error.
func (p *parser) addSyntaxError(err error) {
	place, problem := bvfinding.Place{File: p.file}, strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlLine.FindStringSubmatch(problem); m != nil {
		place.Line, _ = strconv.Atoi(m[1])
		problem = m[2]
	}
	p.findings.Add(place, "not valid YAML: "+problem, "")
}

// readMapping reads the settings of a mapping whose path is prefix.
func (p *parser) readMapping(prefix string, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		p.addFinding(n, "value is not a mapping", "write \"name: value\" lines")
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		p.readEntry(prefix, n.Content[i], n.Content[i+1])
	}
}

func (p *parser) readEntry(prefix string, key, value *yaml.Node) {
	path := prefix + key.Value
	if p.seen[path] != nil {
		p.addFinding(key, fmt.Sprintf("%q is set twice", path), fmt.Sprintf("remove it here or in line %d", p.seen[path].Line))
		return
	}
	p.seen[path] = value
	if i := slices.IndexFunc(fields, func(f field) bool { return f.path == path }); i >= 0 {
		if value.Kind == yaml.AliasNode {
			p.addFinding(value, "aliases are not supported", "repeat the value")
			return
		}
		problem, remedy := set(fields[i].target(&p.settings), value)
		if problem == "" && fields[i].required && value.Kind == yaml.ScalarNode && value.Value == "" {
			problem, remedy = "value is empty", "write a string"
		}
		if problem != "" {
			p.addFinding(value, fmt.Sprintf("%s: %s", path, problem), remedy)
		} else if c := fields[i].check; c != nil {
			if problem := c(&p.settings); problem != "" {
				p.addFinding(value, fmt.Sprintf("%s: %s", path, problem), "")
			}
		}
		return
	}
	if slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.path, path+".") }) {
		p.readMapping(path+".", value)
		return
	}
	p.addFinding(key, fmt.Sprintf("unknown setting %q", path), "known settings here: "+strings.Join(settingNames(prefix), ", "))
}

// settingNames returns the names of the settings and groups directly below prefix.
func settingNames(prefix string) []string {
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

// checkAcrossSettings checks conditions on more than one setting.
func (p *parser) checkAcrossSettings() {
	for _, f := range fields {
		unused := f.encapsulation != "" && f.encapsulation != p.settings.Encapsulation
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
			p.addFinding(p.seen["tls"], fmt.Sprintf("setting \"tls.%s\" is missing", name), "set all of certificate, key and authority, or none")
		}
	}
}
