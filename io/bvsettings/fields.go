package bvsettings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// field is one setting: its path in the file and its field of Settings.
type field struct {
	path string
	// A required setting must be given; if encapsulation is not empty, only with
	// this encapsulation.
	required      bool
	encapsulation string
	target        func(*Settings) any    // Returns a pointer to the field.
	check         func(*Settings) string // Returns the problem, or "".
}

const (
	maxFlows  = 1 << 26
	maxNumber = 1e9
	maxQueue  = 1 << 14 // Batches for 16,384 packets take 150 MB.
)

var logLevels = []string{"debug", "info", "warn", "error"}

var encapsulations = []string{EncapsulationGeneve, EncapsulationToken}

var fields = []field{
	{path: "node", required: true, target: func(s *Settings) any { return &s.Node }},
	{path: "zone", required: true, target: func(s *Settings) any { return &s.Zone }},
	{path: "group", required: true, encapsulation: EncapsulationGeneve, target: func(s *Settings) any { return &s.Group }, check: func(s *Settings) string {
		if strings.ContainsAny(s.Group, "/?#% ") {
			return "group is part of the platform's keys and must not contain /, ?, #, % or spaces"
		}
		return ""
	}},
	{path: "seeds", target: func(s *Settings) any { return &s.Seeds }},
	{path: "listen.fabric", required: true, target: func(s *Settings) any { return &s.Listen.Fabric }},
	{path: "listen.peer", required: true, encapsulation: EncapsulationGeneve, target: func(s *Settings) any { return &s.Listen.Peer }},
	{path: "listen.control", required: true, encapsulation: EncapsulationGeneve, target: func(s *Settings) any { return &s.Listen.Control }},
	{path: "listen.admin", target: func(s *Settings) any { return &s.Listen.Admin }},
	{path: "listen.ready", required: true, encapsulation: EncapsulationToken, target: func(s *Settings) any { return &s.Listen.Ready }},
	{path: "fabric.return", required: true, encapsulation: EncapsulationGeneve, target: func(s *Settings) any { return &s.Fabric.Return }},
	{path: "platform.addresses", required: true, target: func(s *Settings) any { return &s.Platform.Addresses }, check: func(s *Settings) string {
		if len(s.Platform.Addresses) == 0 {
			return "addresses is an empty list"
		}
		return ""
	}},
	{path: "platform.readTimeout", target: func(s *Settings) any { return &s.Platform.ReadTimeout }},
	{path: "platform.watchWait", target: func(s *Settings) any { return &s.Platform.WatchWait }, check: func(s *Settings) string {
		if s.Platform.WatchWait < time.Second {
			return "watchWait is sent in whole seconds and must be at least 1s"
		}
		return ""
	}},
	{path: "keys.peer", required: true, encapsulation: EncapsulationGeneve, target: func(s *Settings) any { return &s.Keys.Peer }},
	{path: "tls.certificate", target: func(s *Settings) any { return &s.TLS.Certificate }},
	{path: "tls.key", target: func(s *Settings) any { return &s.TLS.Key }},
	{path: "tls.authority", target: func(s *Settings) any { return &s.TLS.Authority }},
	{path: "limits.flows", target: func(s *Settings) any { return &s.Limits.Flows }, check: func(s *Settings) string {
		return atMost(s.Limits.Flows, maxFlows)
	}},
	{path: "limits.packetQueue", target: func(s *Settings) any { return &s.Limits.PacketQueue }, check: func(s *Settings) string {
		return atMost(s.Limits.PacketQueue, maxQueue)
	}},
	{path: "limits.controlBytesPerSecond", target: func(s *Settings) any { return &s.Limits.ControlBytesPerSecond }},
	{path: "limits.coldBalancers", target: func(s *Settings) any { return &s.Limits.ColdBalancers }},
	{path: "limits.coldFactor", target: func(s *Settings) any { return &s.Limits.ColdFactor }},
	{path: "limits.coldSlack", target: func(s *Settings) any { return &s.Limits.ColdSlack }},
	{path: "timeouts.idle", target: func(s *Settings) any { return &s.Timeouts.Idle }},
	{path: "timeouts.opening", target: func(s *Settings) any { return &s.Timeouts.Opening }},
	{path: "timeouts.stop", target: func(s *Settings) any { return &s.Timeouts.Stop }},
	{path: "timeouts.configuration", target: func(s *Settings) any { return &s.Timeouts.Configuration }},
	{path: "timeouts.drain", target: func(s *Settings) any { return &s.Timeouts.Drain }},
	{path: "admission.enabled", target: func(s *Settings) any { return &s.Admission.Enabled }},
	{path: "responses.enabled", target: func(s *Settings) any { return &s.Responses.Enabled }},
	{path: "hedge.fraction", target: func(s *Settings) any { return &s.Hedge.Fraction }, check: func(s *Settings) string {
		if s.Hedge.Fraction > 1 {
			return "fraction is a part of all openings and must be at most 1"
		}
		return ""
	}},
	{path: "hedge.burst", target: func(s *Settings) any { return &s.Hedge.Burst }},
	{path: "encapsulation", target: func(s *Settings) any { return &s.Encapsulation }, check: func(s *Settings) string {
		if !slices.Contains(encapsulations, s.Encapsulation) {
			return "encapsulation must be one of " + strings.Join(encapsulations, ", ")
		}
		return ""
	}},
	{path: "log.level", target: func(s *Settings) any { return &s.LogLevel }, check: func(s *Settings) string {
		if !slices.Contains(logLevels, s.LogLevel) {
			return "level must be one of " + strings.Join(logLevels, ", ")
		}
		return ""
	}},
}

func atMost(v, limit int) string {
	if v > limit {
		return fmt.Sprintf("%d is more than %d", v, limit)
	}
	return ""
}

// set stores the value of a YAML node in the variable that to points to. It returns
// the problem and its remedy, or empty strings.
func set(to any, n *yaml.Node) (problem, remedy string) {
	switch v := to.(type) {
	case *string:
		if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
			return "value is not a string", "write a string; quote it if it looks like a number"
		}
		*v = n.Value
	case *int:
		i, err := strconv.Atoi(n.Value)
		if n.Kind != yaml.ScalarNode || err != nil || i < 1 {
			return "value is not a whole number above 0", "write a number such as 1000"
		}
		*v = i
	case *float64:
		f, err := strconv.ParseFloat(n.Value, 64)
		if n.Kind != yaml.ScalarNode || err != nil || !(f >= 0) || f > maxNumber {
			return "value is not a number of at least 0", "write a number such as 1.5"
		}
		*v = f
	case *bool:
		b, err := strconv.ParseBool(n.Value)
		if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!bool" || err != nil {
			return "value is not true or false", "write true or false"
		}
		*v = b
	case *time.Duration:
		d, err := time.ParseDuration(n.Value)
		if n.Kind != yaml.ScalarNode || err != nil || d <= 0 {
			return "value is not a duration above 0", "write a duration such as 30s or 2h"
		}
		*v = d
	case *netip.AddrPort:
		a, err := netip.ParseAddrPort(n.Value)
		if n.Kind != yaml.ScalarNode || err != nil {
			return "value is not an IP address with port", "write an address such as 192.0.2.1:6081 or [2001:db8::1]:6081"
		}
		*v = a
	case *[]netip.AddrPort:
		return setList(v, n)
	}
	return "", ""
}

func setList(to *[]netip.AddrPort, n *yaml.Node) (problem, remedy string) {
	remedy = "write a list such as [192.0.2.1:8080, 192.0.2.2:8080]"
	if n.Kind != yaml.SequenceNode {
		return "value is not a list of IP addresses with ports", remedy
	}
	*to = nil
	for _, e := range n.Content {
		var a netip.AddrPort
		if p, _ := set(&a, e); p != "" {
			return "list has an entry that is not an IP address with port", remedy
		}
		*to = append(*to, a)
	}
	return "", ""
}

// put adds the setting with the given value to the YAML mapping root.
func (f field) put(root *yaml.Node, value any) {
	group, name, nested := strings.Cut(f.path, ".")
	if nested {
		root = child(root, group)
	} else {
		name = group
	}
	key, v := scalar(name), scalar("")
	switch value := value.(type) {
	case *string:
		v.Value = *value
	case *int:
		v = &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!int", Value: strconv.Itoa(*value)}
	case *float64:
		v = &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!float", Value: strconv.FormatFloat(*value, 'g', -1, 64)}
	case *bool:
		v = &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: strconv.FormatBool(*value)}
	case *time.Duration:
		v.Value = value.String()
	case *netip.AddrPort:
		if value.IsValid() {
			v.Value = value.String()
		}
	case *[]netip.AddrPort:
		v = &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	}
	if f.required {
		v.LineComment = "required"
	}
	root.Content = append(root.Content, key, v)
}

func scalar(s string) *yaml.Node {
	n := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: s}
	if s == "" {
		n.Style = yaml.DoubleQuotedStyle
	}
	return n
}

// child returns the mapping under key; it creates one if there is none.
func child(root *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == key {
			return root.Content[i+1]
		}
	}
	m := &yaml.Node{Kind: yaml.MappingNode}
	root.Content = append(root.Content, scalar(key), m)
	return m
}
