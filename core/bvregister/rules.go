package bvregister

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"

	"go.yaml.in/yaml/v3"
)

// ruleValue is a value in the rules and its position.
type ruleValue struct {
	value string
	place bvfinding.Place
}

// rules is the decoded rules file.
type rules struct {
	file              string
	group             string
	hashSeed          uint64
	separator         rune
	columns           map[string]ruleValue
	roles             map[string]role
	zonesOutOfService []ruleValue
	leaving           []ruleValue
	defaults          serviceRules
	services          map[string]serviceRules
}

// serviceRules are the settings of a service that do not come from the
// register.
type serviceRules struct {
	place       bvfinding.Place
	class       bvconfig.Class
	classGiven  bool // The rules of this service set a class.
	protocol    string
	vni         uint32
	idempotent  bool
	weight      uint32
	slots       uint32
	connections uint32
	cold, warm  float64
	warmUp      time.Duration
	idleTimeout time.Duration
}

// defaultServiceRules applies to services without rules of their own. Slots and
// connections are those of today's servers (4 and about 2,000); a cold server
// starts at a tenth of its warm rate.
var defaultServiceRules = serviceRules{
	class: bvconfig.ClassInteractive, weight: 1, slots: 4, connections: 2000,
	cold: 20, warm: 200, warmUp: time.Minute, idleTimeout: 2 * time.Hour,
}

func (r *rules) service(name string) serviceRules {
	if s, ok := r.services[name]; ok {
		return s
	}
	return r.defaults
}

// ruleReader decodes the nodes of the rules file and reports problems.
type ruleReader struct {
	file string
	list *bvfinding.List
}

func (r *ruleReader) place(n *yaml.Node) bvfinding.Place {
	return bvfinding.Place{File: r.file, Line: n.Line, Column: n.Column}
}

func (r *ruleReader) add(n *yaml.Node, problem, remedy string) {
	r.list.Add(r.place(n), problem, remedy)
}

// yamlLine matches the line number in a syntax error of the YAML package, which
// reports it only as text.
var yamlLine = regexp.MustCompile(`line (\d+)`)

// readRules decodes the rules. Empty rules are valid; ok is false for rules that
// are not YAML, since they do not define the register's columns either.
func readRules(s Source, l *bvfinding.List) (out rules, ok bool) {
	out = rules{file: s.Name, separator: ',', hashSeed: 1, defaults: defaultServiceRules}
	r := &ruleReader{file: s.Name, list: l}
	d := yaml.NewDecoder(bytes.NewReader(s.Content))
	var document yaml.Node
	err := d.Decode(&document)
	if errors.Is(err, io.EOF) {
		return out, true
	}
	if err != nil {
		p := bvfinding.Place{File: s.Name}
		if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
			p.Line, _ = strconv.Atoi(m[1])
		}
		l.Add(p, "not valid YAML: "+strings.TrimPrefix(err.Error(), "yaml: "), "correct the indentation and the quotes of this line")
		return out, false
	}
	var second yaml.Node
	if !errors.Is(d.Decode(&second), io.EOF) {
		r.add(&second, "the file has more than one document", "remove the line --- and what follows")
	}
	if len(document.Content) == 1 {
		r.topLevel(document.Content[0], &out)
	}
	return out, true
}

// topLevel decodes the top-level mapping. Services inherit from the defaults,
// so they are decoded after them.
func (r *ruleReader) topLevel(n *yaml.Node, out *rules) {
	var services *yaml.Node
	r.mapping(n, "the rules", map[string]func(*yaml.Node){
		"group":             func(v *yaml.Node) { out.group = r.group(v) },
		"hashSeed":          func(v *yaml.Node) { out.hashSeed = r.number(v, 0, math.MaxUint64) },
		"separator":         func(v *yaml.Node) { out.separator = r.separator(v) },
		"columns":           func(v *yaml.Node) { out.columns = r.columns(v) },
		"roles":             func(v *yaml.Node) { out.roles = r.roles(v) },
		"zonesOutOfService": func(v *yaml.Node) { out.zonesOutOfService = r.names(v) },
		"vmsLeaving":        func(v *yaml.Node) { out.leaving = r.names(v) },
		"defaults":          func(v *yaml.Node) { out.defaults = r.service(v, out.defaults) },
		"services":          func(v *yaml.Node) { services = v },
	})
	out.defaults.classGiven = false // The register's class takes precedence over a default.
	out.services = map[string]serviceRules{}
	if services != nil {
		r.eachEntry(services, "services", func(k, v *yaml.Node) {
			s := r.service(v, out.defaults)
			s.place = r.place(k)
			out.services[k.Value] = s
		})
	}
}

// service decodes the settings of one service; those not given are taken from
// base.
func (r *ruleReader) service(n *yaml.Node, base serviceRules) serviceRules {
	s := base
	r.mapping(n, "a service", map[string]func(*yaml.Node){
		"class":       func(v *yaml.Node) { s.class, s.classGiven = r.class(v), true },
		"protocol":    func(v *yaml.Node) { s.protocol = r.choice(v, "tcp", "udp") },
		"vni":         func(v *yaml.Node) { s.vni = uint32(r.number(v, 1, bvconfig.MaxVNI)) },
		"idempotent":  func(v *yaml.Node) { s.idempotent = r.choice(v, "true", "false") == "true" },
		"warmUp":      func(v *yaml.Node) { s.warmUp = r.duration(v) },
		"idleTimeout": func(v *yaml.Node) { s.idleTimeout = r.idleTimeout(v) },
		"limits": func(v *yaml.Node) {
			r.mapping(v, "limits", map[string]func(*yaml.Node){
				"weight":             func(v *yaml.Node) { s.weight = uint32(r.number(v, 1, bvconfig.MaxWeight)) },
				"slots":              func(v *yaml.Node) { s.slots = uint32(r.number(v, 1, math.MaxUint32)) },
				"connections":        func(v *yaml.Node) { s.connections = uint32(r.number(v, 1, math.MaxUint32)) },
				"coldFlowsPerSecond": func(v *yaml.Node) { s.cold = r.rate(v, false) },
				"warmFlowsPerSecond": func(v *yaml.Node) { s.warm = r.rate(v, true) },
			})
		},
	})
	if s.warm != 0 && s.cold > s.warm {
		r.add(n, fmt.Sprintf("coldFlowsPerSecond %g is above warmFlowsPerSecond %g", s.cold, s.warm),
			"write a coldFlowsPerSecond of at most warmFlowsPerSecond; a cold server takes less than a warm one")
	}
	return s
}

// mapping calls the function of each key and reports unknown keys.
func (r *ruleReader) mapping(n *yaml.Node, what string, keys map[string]func(*yaml.Node)) {
	r.eachEntry(n, what, func(k, v *yaml.Node) {
		f, ok := keys[k.Value]
		if !ok {
			r.add(k, "unknown key "+quote(k.Value), "write "+suggestion(k.Value, keys))
			return
		}
		f(v)
	})
}

// eachEntry calls f for each entry of a mapping and reports repeated keys. An
// empty value counts as an empty mapping.
func (r *ruleReader) eachEntry(n *yaml.Node, what string, f func(k, v *yaml.Node)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		r.add(n, what+" must be a mapping", "write \"key: value\" lines, indented below it")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.Kind != yaml.ScalarNode {
			r.add(k, "a key must be a plain name", "write \"name: value\"")
			continue
		}
		if seen[k.Value] {
			r.add(k, "key "+quote(k.Value)+" appears twice", "keep one of the two")
			continue
		}
		seen[k.Value] = true
		f(k, v)
	}
}

// suggestion returns the known key closest to a misspelt one, or else all keys.
// A key counts as close if at most a third of its letters have to be changed, or
// if it is a prefix of a known key.
func suggestion[V any](key string, keys map[string]V) string {
	names := slices.Sorted(maps.Keys(keys))
	best, distance := "", len(key)/3+1
	for _, k := range names {
		if d := editDistance(strings.ToLower(k), strings.ToLower(key)); d < distance {
			best, distance = k, d
		}
	}
	for i := 0; best == "" && len(key) > 2 && i < len(names); i++ {
		if strings.HasPrefix(strings.ToLower(names[i]), strings.ToLower(key)) {
			best = names[i]
		}
	}
	if best != "" {
		return quote(best)
	}
	if len(names) == 0 {
		return "nothing here"
	}
	return "one of " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance of two short texts. Longer
// ones are not compared, because names come from input of any size.
func editDistance(a, b string) int {
	if len(a) > 100 || len(b) > 100 {
		return len(a) + len(b)
	}
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			replace := previous[j]
			if a[i] != b[j] {
				replace++
			}
			current[j+1] = min(replace, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}

func (r *ruleReader) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Value == "" {
		r.add(n, "a string is expected", "write one value, such as a name")
		return ""
	}
	return n.Value
}

func (r *ruleReader) group(n *yaml.Node) string {
	s := r.text(n)
	if s != "" && !validName(s) {
		r.add(n, "group "+quote(s)+" is not a valid name", nameRemedy)
	}
	return s
}

func (r *ruleReader) choice(n *yaml.Node, choices ...string) string {
	if n.Kind == yaml.ScalarNode && slices.Contains(choices, n.Value) {
		return n.Value
	}
	r.add(n, quote(n.Value)+" is not valid here", "write "+strings.Join(choices, " or "))
	return choices[0]
}

// classes are the names of the classes.
var classes = map[string]bvconfig.Class{
	"feed": bvconfig.ClassFeed, "interactive": bvconfig.ClassInteractive, "bulk": bvconfig.ClassBulk,
}

func (r *ruleReader) class(n *yaml.Node) bvconfig.Class {
	return classes[r.choice(n, "interactive", "feed", "bulk")]
}

func (r *ruleReader) number(n *yaml.Node, low, high uint64) uint64 {
	v, err := strconv.ParseUint(n.Value, 10, 64)
	if n.Kind != yaml.ScalarNode || err != nil || v < low || v > high {
		r.add(n, quote(n.Value)+" is not a valid number", fmt.Sprintf("write a whole number from %d to %d", low, high))
		return low
	}
	return v
}

func (r *ruleReader) rate(n *yaml.Node, zero bool) float64 {
	v, err := strconv.ParseFloat(n.Value, 64)
	if n.Kind != yaml.ScalarNode || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 || (v == 0 && !zero) {
		r.add(n, quote(n.Value)+" is not a valid rate", "write flows per second, such as 20 or 0.5")
		return 1
	}
	return v
}

func (r *ruleReader) duration(n *yaml.Node) time.Duration {
	d, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil || d <= 0 {
		r.add(n, quote(n.Value)+" is not a valid duration", "write a number with a unit, such as 30s, 5m or 2h")
		return time.Second
	}
	return d
}

// idleTimeout reads an idle timeout. It must be shorter than the time for which
// old upstream lists are kept, so that no flow outlives the list that gives its
// base pick.
func (r *ruleReader) idleTimeout(n *yaml.Node) time.Duration {
	d := r.duration(n)
	if d >= bvconfig.BaseRetention {
		r.add(n, "the idle timeout "+d.String()+" is too long", "write less than "+bvconfig.BaseRetention.String())
	}
	return d
}

func (r *ruleReader) separator(n *yaml.Node) rune {
	c, size := utf8.DecodeRuneInString(n.Value)
	if n.Kind != yaml.ScalarNode || size == 0 || size != len(n.Value) || !strings.ContainsRune(",;|\t", c) {
		r.add(n, quote(n.Value)+" is not a valid separator", `write "," or ";" or "|" or "\t"`)
		return ','
	}
	return c
}

func (r *ruleReader) columns(n *yaml.Node) map[string]ruleValue {
	out := map[string]ruleValue{}
	known := map[string]bool{}
	for _, c := range columnNames() {
		known[c] = true
	}
	r.eachEntry(n, "columns", func(k, v *yaml.Node) {
		if !known[k.Value] {
			r.add(k, "unknown column "+quote(k.Value), "write "+suggestion(k.Value, known))
			return
		}
		out[k.Value] = ruleValue{value: r.text(v), place: r.place(v)}
	})
	return out
}

func (r *ruleReader) roles(n *yaml.Node) map[string]role {
	out := map[string]role{}
	r.eachEntry(n, "roles", func(k, v *yaml.Node) {
		kinds := map[string]role{"upstream": roleUpstream, "balancer": roleBalancer, "service": roleService}
		out[strings.ToLower(k.Value)] = kinds[r.choice(v, "upstream", "balancer", "service")]
	})
	return out
}

func (r *ruleReader) names(n *yaml.Node) []ruleValue {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		r.add(n, "a list is expected", "write [name, name] or one \"- name\" per line")
		return nil
	}
	var out []ruleValue
	seen := map[string]bool{}
	for _, v := range n.Content {
		s := r.text(v)
		if seen[s] && s != "" {
			r.add(v, quote(s)+" appears twice", "keep one of the two")
		}
		if s != "" && !seen[s] {
			out = append(out, ruleValue{value: s, place: r.place(v)})
		}
		seen[s] = true
	}
	return out
}
