package bvregister_test

import (
	"fmt"

	"balsamvane/core/bvregister"
)

func ExampleImport() {
	register := bvregister.Source{Name: "register.csv", Content: []byte(baseRegister)}
	rules := bvregister.Source{Name: "rules.yaml", Content: []byte("group: bikes\nzoneOutOfService: [a]\n")}
	_, findings := bvregister.Import(register, rules, nil)
	for _, f := range findings.Sorted() {
		fmt.Println(f)
	}

	rules.Content = []byte("group: bikes\nzonesOutOfService: [a]\n")
	bundle, _ := bvregister.Import(register, rules, nil)
	for _, g := range bundle.Groups {
		fmt.Println(g.Config.Group, "revision", g.Config.Version.Revision, "upstreams", len(g.Config.Upstreams))
	}
	// Output:
	// rules.yaml:2:1: unknown key "zoneOutOfService"; write "zonesOutOfService"
	// bikes revision 1 upstreams 2
}
