package bvslope

import (
	"bytes"
	"fmt"
	"runtime"

	"balsamvane/core/bvregister"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// ImportCost is the cost of one import of a register, with its sizes.
type ImportCost struct {
	Upstreams, Groups int
	RegisterBytes     int
	PublishedBytes    int
	Parts             int
	Seconds           float64
	AllocatedBytes    float64 // Total of the allocations during the import.
}

// MeasureImports measures the importer with different numbers of groups. Each
// group has 8 balancers, 8 services and 75 upstreams, as at the design size.
func MeasureImports() ([]ImportCost, error) {
	var out []ImportCost
	for _, groups := range []int{19, 188, 1875} {
		i, err := measureImport(groups)
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

func measureImport(groups int) (ImportCost, error) {
	register := largeRegister(groups, groups*8, groups*8, groups*75)
	clock := clockwork.NewRealClock()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := clock.Now()
	b, findings := bvregister.Import(bvregister.Source{Name: "register.csv", Content: register}, bvregister.Source{Name: "rules.yaml"}, nil)
	seconds := clock.Since(start).Seconds()
	runtime.ReadMemStats(&after)
	if !findings.Empty() {
		return ImportCost{}, eris.Wrap(findings.Err(), "bvslope: import the register")
	}
	i := ImportCost{
		Upstreams: groups * 75, Groups: len(b.Groups), RegisterBytes: len(register), Seconds: seconds,
		AllocatedBytes: float64(after.TotalAlloc - before.TotalAlloc),
	}
	for _, g := range b.Groups {
		i.PublishedBytes += len(g.Manifest)
		i.Parts += len(g.Parts)
		for _, p := range g.Parts {
			i.PublishedBytes += len(p)
		}
	}
	return i, nil
}

// largeRegister generates a register. Each group is in one of 4 regions with 3
// zones each.
func largeRegister(groups, balancers, services, upstreams int) []byte {
	var b bytes.Buffer
	b.WriteString("vm,service,zone,region,role,address,port,healthAddress,vni,group\n")
	zone := func(group, i int) (string, string) {
		region := group % 4
		return fmt.Sprintf("r%d-%c", region, 'a'+i%3), fmt.Sprintf("r%d", region)
	}
	for i := range services {
		_, _ = fmt.Fprintf(&b, ",s%d,,,service,192.%d.%d.%d,443,,%d,g%d\n", i, i>>16, i>>8&255, i&255, i+1, i%groups)
	}
	for i := range balancers {
		z, r := zone(i%groups, i/groups)
		_, _ = fmt.Fprintf(&b, "b%d,,%s,%s,balancer,10.%d.%d.%d,6082,,,g%d\n", i, z, r, i>>16, i>>8&255, i&255, i%groups)
	}
	for i := range upstreams {
		s := i % services
		z, r := zone(s%groups, i/services)
		a := fmt.Sprintf("11.%d.%d.%d", i>>16, i>>8&255, i&255)
		_, _ = fmt.Fprintf(&b, "u%d,s%d,%s,%s,upstream,%s,6081,%s:8080,,\n", i, s, z, r, a, a)
	}
	return b.Bytes()
}
