package bvregister_test

import (
	"testing"

	"balsamvane/core/bvregister"

	"github.com/stretchr/testify/require"
)

// Guards against input that makes the import panic, that is accepted once and
// not a second time, or that is rejected without a finding.
func FuzzImport(f *testing.F) {
	for _, user := range []string{"serena", "tuul"} {
		register, rules := example(f, user)
		f.Add(register.Content, rules.Content)
	}
	f.Add([]byte(baseRegister), []byte(baseRules))
	f.Fuzz(func(t *testing.T, register, rules []byte) {
		a, rulesFile := bvregister.Source{Name: "r", Content: register}, bvregister.Source{Name: "y", Content: rules}
		b, l := bvregister.Import(a, rulesFile, nil)
		again, m := bvregister.Import(a, rulesFile, nil)
		require.Equal(t, l.Sorted(), m.Sorted())
		require.Equal(t, b, again)
		if !l.Empty() {
			require.Empty(t, b.Groups)
			return
		}
		previous := map[string]bvregister.Published{}
		for _, g := range b.Groups {
			previous[g.Config.Group] = bvregister.Published{Manifest: g.Manifest}
		}
		c, l := bvregister.Import(a, rulesFile, previous)
		require.NoError(t, l.Err())
		for i, g := range c.Groups {
			require.False(t, g.Changed)
			require.Equal(t, b.Groups[i].Manifest, g.Manifest)
		}
	})
}
