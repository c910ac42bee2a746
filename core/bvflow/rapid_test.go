package bvflow

import "flag"

// The seed is fixed so that the property tests give the same result in every
// run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
