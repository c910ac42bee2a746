package bvregister_test

import (
	"os"
	"strings"
	"testing"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvregister"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func source(t testing.TB, file string) bvregister.Source {
	t.Helper()
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	return bvregister.Source{Name: file, Content: content}
}

func example(t testing.TB, user string) (register, rules bvregister.Source) {
	return source(t, "../../examples/"+user+"/register.csv"), source(t, "../../examples/"+user+"/rules.yaml")
}

func mustImport(t testing.TB, register, rules bvregister.Source, previous map[string]bvregister.Published) bvregister.Bundle {
	t.Helper()
	b, l := bvregister.Import(register, rules, previous)
	require.NoError(t, l.Err())
	return b
}

// Guards against examples that do not match the importer.
func TestImportExamples(t *testing.T) {
	for user, want := range map[string][4]int{"serena": {4, 2, 18, 8}, "tuul": {3, 2, 18, 7}} {
		register, rules := example(t, user)
		b := mustImport(t, register, rules, nil)
		require.Len(t, b.Groups, 1)
		c := b.Groups[0].Config
		require.Equal(t, user, c.Group)
		require.Equal(t, want, [4]int{len(c.Zones), len(c.Services), len(c.Upstreams), len(c.Balancers)})
		require.EqualValues(t, 1, c.Version.Revision)
	}
}

const baseRegister = `vm,service,zone,region,role,address,port,healthAddress,vni,group
,web,,,service,192.0.2.1,80,,1,
b1,,a,r,balancer,10.0.0.1,6082,,,
b2,,b,r,balancer,10.0.0.2,6082,,,
u1,web,a,r,upstream,10.0.1.1,,10.0.1.1:8080,,
u2,web,b,r,upstream,10.0.1.2,,10.0.1.2:8080,,
`

const baseRules = "group: g\n"

// Guards against a report that stops at the first mistake, or that gives the
// wrong position: all mistakes below are in one register and one rules file.
func TestImportReportsAllMistakesWithPlaces(t *testing.T) {
	register := baseRegister + `u3,web,c,r,upstream,10.0.1.2,,,,
u1,web,b,r,upstream,10.0.1.4,,,,
u5,wbe,a,r,upstream,10.0.1.5,,,,
u6,web,a,r,upstream,host-6,,,,
u7,web,a,r,upstream,10.0.1.7,99999,,,
u8,web,a,q,upstream,10.0.1.8,,,,
u9,web,a,r,server,10.0.1.9,,,,
u10,web,a
u11,web,a,r,upstream,10.0.1.11,,10.0.1.11,,
,idle,,,service,192.0.2.2,80,,2,
,mail,,,service,192.0.2.1,80,,1,
u12,mail,a,r,upstream,10.0.1.12,,,,
u2,web,b,r,upstream,10.0.1.13,,,,
u14,w"b,a,r,upstream,10.0.1.14,,,,
,web,,,service,192.0.2.9,80,,7,
bad name,web,a,r,upstream,10.0.1.15,,,,
u16,web,a,r,upstream,10.0.1.16,,,,h
`
	rules := `group: g
zonesOut: [a]
zonesOutOfService: [nowhere]
vmsLeaving: [u99]
hashSeed: -4
services:
  web:
    class: urgent
    warmUp: 30
    limits: {slots: 0, coldFlowsPerSecond: 500}
    idempotent: maybe
  ghost: {}
  web: {}
`
	_, l := bvregister.Import(bvregister.Source{Name: "r.csv", Content: []byte(register)},
		bvregister.Source{Name: "r.yaml", Content: []byte(rules)}, nil)
	want := []struct{ place, problem string }{
		{"r.csv:7:21", `belongs to VM "u2"`},
		{"r.csv:8:8", `VM "u1" is in zone "b" here and in zone "a" on line 5`},
		{"r.csv:9:4", `service "wbe" has no row`},
		{"r.csv:10:21", `"host-6" is not an IP address`},
		{"r.csv:11:30", `"99999" is not a port`},
		{"r.csv:12:10", `region "q"`},
		{"r.csv:13:12", `unknown role "server"`},
		{"r.csv:14:1", `3 fields`},
		{"r.csv:15:33", `"10.0.1.11" is not an address with a port`},
		{"r.csv:16:2", `service "idle" has no VMs`},
		{"r.csv:17:17", `belongs to service "web"`},
		{"r.csv:17:2", `same VNI 1`},
		{"r.csv:19:1", `VM "u2" is on line 6`},
		{"r.csv:20:6", `bare "`},
		{"r.csv:21:30", `has VNI 1 elsewhere`},
		{"r.csv:22:1", `"bad name" is not a valid name`},
		{"r.csv:23:35", `in group "h"`},
		{"r.yaml:2:1", `unknown key "zonesOut"`},
		{"r.yaml:3:21", `zone "nowhere"`},
		{"r.yaml:4:14", `no VM "u99"`},
		{"r.yaml:5:11", `"-4" is not a valid number`},
		{"r.yaml:8:12", `"urgent" is not valid`},
		{"r.yaml:9:13", `"30" is not a valid duration`},
		{"r.yaml:10:21", `"0" is not a valid number`},
		{"r.yaml:8:5", `coldFlowsPerSecond 500 is above`},
		{"r.yaml:11:17", `"maybe" is not valid`},
		{"r.yaml:12:3", `no service "ghost"`},
		{"r.yaml:13:3", `"web" appears twice`},
	}
	got := l.Sorted()
	var lines []string
	for _, f := range got {
		require.NotEmpty(t, f.Remedy, f.String())
		lines = append(lines, f.String())
	}
	for _, w := range want {
		require.True(t, hasFinding(got, w.place, w.problem), "%s %s is missing in\n%s", w.place, w.problem, strings.Join(lines, "\n"))
	}
	require.Len(t, got, len(want), strings.Join(lines, "\n"))
}

func hasFinding(l []bvfinding.Finding, place, problem string) bool {
	for _, f := range l {
		if f.Place.String() == place && strings.Contains(f.Problem, problem) {
			return true
		}
	}
	return false
}

// Guards against mistakes that are only found when the rest of the input is
// valid, and against one mistake that is reported again on each row.
func TestImportSingleMistakes(t *testing.T) {
	for _, tt := range []struct{ name, register, rules, place, problem string }{
		{"missing column", strings.Replace(baseRegister, "zone,", "az,", 1), baseRules, "r.csv:1:1", `column "zone" is missing`},
		{"repeated column", strings.Replace(baseRegister, "region,", "zone,", 1), baseRules, "r.csv:1:17", `column "zone" appears twice`},
		{"mapped column", baseRegister, baseRules + "columns: {vm: host}\nservices: {web: {}}", "r.yaml:2:15", `column "host" is not in the register`},
		{"unknown column", baseRegister, baseRules + "columns: {host: vm}", "r.yaml:2:11", `unknown column "host"`},
		{"empty register", "", baseRules, "r.csv:1:1", "the register is empty"},
		{"no group", baseRegister, "", "r.csv:2:", "no group is given"},
		{"group with a path", baseRegister, "group: ../g", "r.yaml:1:8", "not a valid name"},
		{"not YAML", baseRegister, "group: [", "r.yaml:1", "not valid YAML"},
		{"two documents", baseRegister, baseRules + "---\na: 1\n", "r.yaml:", "more than one document"},
		{"last zone", baseRegister, baseRules + "zonesOutOfService: [a, b]", "r.yaml:2:24", `last zone or VM of service "web"`},
		{"last VM", baseRegister, baseRules + "zonesOutOfService: [a]\nvmsLeaving: [u2]", "r.yaml:3:14", `last zone or VM of service "web"`},
		{"zone without balancer", strings.Replace(baseRegister, "b2,,b", "b2,,a", 1), baseRules, "r.csv:6:8", "no balancer"},
		{"no VNI", strings.Replace(baseRegister, "80,,1", "80,,", 1), baseRules, "r.csv:2:2", "no VNI"},
		{"large VNI", strings.Replace(baseRegister, "80,,1", "80,,16777216", 1), baseRules, "r.csv:2:30", "not a valid vni"},
		{"long idle timeout", baseRegister, baseRules + "services: {web: {idleTimeout: 4h}}", "r.yaml:2:31", "too long"},
		{"control address", strings.Replace(baseRegister, "10.0.0.2,6082,", "10.0.0.2,6082,x", 1), baseRules + "columns: {controlAddress: healthAddress}", "r.csv:4:32", "not an address with a port"},
		{"unknown class", strings.Replace(baseRegister, ",web,,,", ",web,,gold,", 1), baseRules + "columns: {class: region}", "r.csv:2:7", `unknown class "gold"`},
		{"group in the register", strings.Replace(baseRegister, "80,,1,", "80,,1,../g", 1), baseRules, "r.csv:2:32", "not a valid name"},
		{"unknown protocol", baseRegister, baseRules + "services: {web: {protocol: icmp}}", "r.yaml:2:28", "not valid here"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, l := bvregister.Import(bvregister.Source{Name: "r.csv", Content: []byte(tt.register)},
				bvregister.Source{Name: "r.yaml", Content: []byte(tt.rules)}, nil)
			require.Equal(t, 1, l.Len(), "%v", l.Err())
			for _, f := range l.Sorted() {
				if strings.HasPrefix(f.Place.String(), tt.place) && strings.Contains(f.Problem, tt.problem) {
					return
				}
			}
			t.Fatalf("%s %s is missing in %v", tt.place, tt.problem, l.Err())
		})
	}
}

// Guards against a class of the register that a default or an empty row hides,
// or that a rule cannot replace.
func TestImportClass(t *testing.T) {
	register := bvregister.Source{Content: []byte(strings.Replace(baseRegister, ",web,,,", ",web,,bulk,", 1))}
	mapped := baseRules + "columns: {class: region}\n"
	for rules, want := range map[string]bvconfig.Class{
		"":                                bvconfig.ClassBulk,
		"defaults: {class: feed}":         bvconfig.ClassBulk,
		"services: {web: {class: feed}}":  bvconfig.ClassFeed,
		"services: {web: {warmUp: 100s}}": bvconfig.ClassBulk,
	} {
		b := mustImport(t, register, bvregister.Source{Content: []byte(mapped + rules)}, nil)
		require.Equal(t, want, b.Groups[0].Config.Services[0].Class, rules)
	}
}

// Guards against a revision that decreases, or that increases without a change
// and so makes every node load the same content again.
func TestImportRevisionOnlyGrows(t *testing.T) {
	register, rules := example(t, "serena")
	published := map[string]bvregister.Published{}
	importAndPublish := func(r bvregister.Source) bvregister.Group {
		g := mustImport(t, register, r, published).Groups[0]
		published["serena"] = bvregister.Published{File: "manifest", Manifest: g.Manifest}
		return g
	}
	zoneOutRules := bvregister.Source{Content: append([]byte("zonesOutOfService: [cr-b]\n"), rules.Content...)}
	for _, s := range []struct {
		rules    bvregister.Source
		revision uint64
		changed  bool
	}{{rules, 1, true}, {rules, 1, false}, {zoneOutRules, 2, true}, {zoneOutRules, 2, false}, {rules, 3, true}} {
		g := importAndPublish(s.rules)
		require.Equal(t, s.revision, g.Config.Version.Revision)
		require.Equal(t, s.changed, g.Changed)
	}
	for _, invalid := range []string{"", "{}", `{"group":"tuul","revision":9}`} {
		published["serena"] = bvregister.Published{File: "manifest", Manifest: []byte(invalid)}
		_, l := bvregister.Import(register, rules, published)
		require.True(t, hasFinding(l.Sorted(), "manifest", "cannot be read"))
	}
}

// Guards against a VNI that moves from one service to another in one change,
// so that late packets of the first reach VMs of the second.
func TestPromiseVNIIsNotReusedAtOnce(t *testing.T) {
	rules := bvregister.Source{Content: []byte(baseRules)}
	first := mustImport(t, bvregister.Source{Content: []byte(baseRegister)}, rules, nil).Groups[0]
	published := map[string]bvregister.Published{"g": {File: "manifest", Manifest: first.Manifest, Parts: first.Parts}}
	renamed := bvregister.Source{Name: "r.csv", Content: []byte(strings.ReplaceAll(baseRegister, "web", "shop"))}
	_, l := bvregister.Import(renamed, rules, published)
	require.True(t, hasFinding(l.Sorted(), "r.csv:2:2", `VNI 1 belongs to service "web"`), "%v", l.Err())

	renamed.Content = []byte(strings.Replace(string(renamed.Content), "80,,1", "80,,2", 1))
	mustImport(t, renamed, rules, published)

	published["g"] = bvregister.Published{File: "manifest", Manifest: first.Manifest, Parts: map[string][]byte{"x": nil}}
	_, l = bvregister.Import(renamed, rules, published)
	require.True(t, hasFinding(l.Sorted(), "manifest", "cannot be read"), "%v", l.Err())
}

// Guards against output that depends on map order or on the order of rows.
func TestImportIsDeterministic(t *testing.T) {
	register, rules := example(t, "tuul")
	want := mustImport(t, register, rules, nil)
	lines := strings.Split(strings.TrimSpace(string(register.Content)), "\n")
	rapid.Check(t, func(rt *rapid.T) {
		rows := rapid.Permutation(lines[1:]).Draw(rt, "rows")
		shuffled := lines[0] + "\n" + strings.Join(rows, "\r\n")
		b, l := bvregister.Import(bvregister.Source{Content: []byte(shuffled)}, rules, nil)
		require.NoError(rt, l.Err())
		require.Equal(rt, want, b)
	})
}
