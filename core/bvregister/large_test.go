package bvregister_test

import (
	"bytes"
	"fmt"
	"testing"

	"balsamvane/core/bvregister"

	"github.com/stretchr/testify/require"
)

// largeRegister returns a register with the given counts, spread over 4 regions
// of 3 zones each. A group lies in one region; at 2,000 groups it has 7 or 8
// balancers and services.
func largeRegister(groups, balancers, services, upstreams int) []byte {
	var b bytes.Buffer
	b.WriteString("vm,service,zone,region,role,address,port,healthAddress,vni,group\n")
	zone := func(group, i int) (string, string) {
		region := group % 4
		return fmt.Sprintf("r%d-%c", region, 'a'+i%3), fmt.Sprintf("r%d", region)
	}
	for i := range services {
		fmt.Fprintf(&b, ",s%d,,,service,192.%d.%d.%d,443,,%d,g%d\n", i, i>>16, i>>8&255, i&255, i+1, i%groups)
	}
	for i := range balancers {
		z, r := zone(i%groups, i/groups)
		fmt.Fprintf(&b, "b%d,,%s,%s,balancer,10.%d.%d.%d,6082,,,g%d\n", i, z, r, i>>16, i>>8&255, i&255, i%groups)
	}
	for i := range upstreams {
		s := i % services
		z, r := zone(s%groups, i/services)
		a := fmt.Sprintf("11.%d.%d.%d", i>>16, i>>8&255, i&255)
		fmt.Fprintf(&b, "u%d,s%d,%s,%s,upstream,%s,6081,%s:8080,,\n", i, s, z, r, a, a)
	}
	return b.Bytes()
}

// Guards against groups that share services, VMs or balancers.
func TestImportSeveralGroups(t *testing.T) {
	register := bvregister.Source{Content: largeRegister(8, 60, 60, 560)}
	b := mustImport(t, register, bvregister.Source{}, nil)
	require.Len(t, b.Groups, 8)
	services, upstreams, balancers := 0, 0, 0
	for _, g := range b.Groups {
		require.Len(t, g.Config.Zones, 3)
		services += len(g.Config.Services)
		upstreams += len(g.Config.Upstreams)
		balancers += len(g.Config.Balancers)
	}
	require.Equal(t, [3]int{60, 560, 60}, [3]int{services, upstreams, balancers})
}

// BenchmarkImportDesignSize imports 15,000 nodes and 140,000 servers behind
// 15,000 addresses.
func BenchmarkImportDesignSize(b *testing.B) {
	register := bvregister.Source{Content: largeRegister(2000, 15000, 15000, 140000)}
	b.ReportAllocs()
	for b.Loop() {
		bundle := mustImport(b, register, bvregister.Source{}, nil)
		size, values := 0, 0
		for _, g := range bundle.Groups {
			size += len(g.Manifest)
			values += 1 + len(g.Parts)
			for _, p := range g.Parts {
				size += len(p)
			}
		}
		b.ReportMetric(float64(len(register.Content)), "bytes-in")
		b.ReportMetric(float64(size), "bytes-out")
		b.ReportMetric(float64(values), "values")
	}
}

// BenchmarkDiff compares Serena's configuration before and after a zone is taken
// out of service.
func BenchmarkDiff(b *testing.B) {
	old, next := serenaConfig(b, ""), serenaConfig(b, "zonesOutOfService: [cr-b]\n")
	for b.Loop() {
		bvregister.Diff(old, next, bvregister.DiffOptions{})
	}
}
