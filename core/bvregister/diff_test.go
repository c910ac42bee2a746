package bvregister_test

import (
	"strings"
	"testing"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvregister"

	"github.com/stretchr/testify/require"
)

func serenaConfig(t testing.TB, rules string, replace ...string) bvconfig.Config {
	t.Helper()
	register, r := example(t, "serena")
	register.Content = []byte(strings.NewReplacer(replace...).Replace(string(register.Content)))
	r.Content = append([]byte(rules), r.Content...)
	return mustImport(t, register, r, nil).Groups[0].Config
}

// Guards against a report that omits a consequence of a change.
func TestDiff(t *testing.T) {
	old := serenaConfig(t, "")

	t.Run("nothing", func(t *testing.T) {
		r := bvregister.Diff(old, serenaConfig(t, ""), bvregister.DiffOptions{})
		require.True(t, r.Empty())
		require.Zero(t, r.MovedShare)
	})
	t.Run("zone out of service", func(t *testing.T) {
		r := bvregister.Diff(old, serenaConfig(t, "zonesOutOfService: [cr-b]\n"), bvregister.DiffOptions{})
		require.Len(t, r.NoNewFlows, 5) // 4 bench VMs and 1 certificate VM.
		require.Len(t, r.Abandoned, 2)
		require.Equal(t, "cr-b", r.Abandoned[0].Zone)
		// Rendezvous hashing moves the flows of the zone and no others.
		require.InDelta(t, 4.0/14, r.Abandoned[0].Share, 0.03)
		require.InDelta(t, r.Abandoned[0].Share, r.Moved[0].Share, 1e-9)
		require.Equal(t, []bvregister.ZoneCount{{Service: "bench", Before: 4, After: 3}, {Service: "certificates", Before: 4, After: 3}}, r.FewerZones)
		require.Empty(t, r.Cold)
	})
	t.Run("zone back in service", func(t *testing.T) {
		r := bvregister.Diff(serenaConfig(t, "zonesOutOfService: [cr-b]\n"), old, bvregister.DiffOptions{})
		require.Empty(t, r.Abandoned)
		require.Empty(t, r.NoNewFlows)
		require.NotEmpty(t, r.Moved)
	})
	t.Run("VM leaving", func(t *testing.T) {
		r := bvregister.Diff(old, serenaConfig(t, "vmsLeaving: [bench-3, entry-a1]\n"), bvregister.DiffOptions{})
		require.Equal(t, []bvregister.VM{{Name: "bench-3", Service: "bench", Zone: "cr-c", Reason: "leaving"}}, r.NoNewFlows)
		require.Equal(t, []bvregister.VM{{Name: "entry-a1", Zone: "cr-a", Reason: "leaving"}}, r.Balancers)
		require.Empty(t, r.Abandoned)
	})
	t.Run("VM replaced", func(t *testing.T) {
		r := bvregister.Diff(old, serenaConfig(t, "", "cert-4,", "cert-5,"), bvregister.DiffOptions{})
		require.Equal(t, "cert-4", r.NoNewFlows[0].Name)
		require.Equal(t, "cert-5", r.Cold[0].Name)
		require.Len(t, r.Abandoned, 1)
	})
	t.Run("address removed", func(t *testing.T) {
		r := bvregister.Diff(old, serenaConfig(t, "", "7001", "7002"), bvregister.DiffOptions{})
		require.Equal(t, []bvregister.Loss{{Service: "bench", Reason: "address 192.0.2.10:7001/tcp removed", Share: 0.5}}, r.Abandoned)
	})
	t.Run("group added and removed", func(t *testing.T) {
		r := bvregister.Diff(bvconfig.Config{}, old, bvregister.DiffOptions{})
		require.False(t, r.HashSeedChanged)
		require.Equal(t, []string{"bench", "certificates"}, r.Added)
		require.Len(t, r.Cold, 18)
		r = bvregister.Diff(old, bvconfig.Config{}, bvregister.DiffOptions{})
		require.Equal(t, []string{"bench", "certificates"}, r.Removed)
		require.Len(t, r.NoNewFlows, 18)
	})
	t.Run("hash seed", func(t *testing.T) {
		next := old
		next.HashSeed++
		r := bvregister.Diff(old, next, bvregister.DiffOptions{})
		require.True(t, r.HashSeedChanged)
		require.Greater(t, r.MovedShare, 0.5)
	})
}
