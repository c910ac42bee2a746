package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"balsamvane/core/bvtoken"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const explainLog = `  0.1 entry-1 {"ts":"2026-01-01T00:00:00.1Z","msg":"decision","source":"203.0.113.7:51234","destination":"198.51.100.1:80","opening":true,"verdict":"forward","reason":"placed","upstream":7,"catalogAge":"1.2s","version":3}
not a line of a balancer
{"ts":"2026-01-01T00:00:03Z","msg":"decision","source":"203.0.113.7:51234","destination":"198.51.100.1:80","verdict":"reset","reason":"upstreamGone","upstream":0,"catalogAge":"0.3s","version":4}
{"ts":"2026-01-01T00:00:01Z","msg":"store was restored from a copy","era":2}
{"ts":"2026-01-01T00:00:02Z","msg":"upstream gone","upstream":7}
{"ts":"2026-01-01T00:00:02Z","msg":"upstream gone","upstream":8}
{"ts":"2026-01-01T00:00:02.5Z","msg":"decision","source":"203.0.113.8:1","verdict":"reset","reason":"noRoute"}
`

// TestExplain guards against lines that are missing or in the wrong order,
// and against a wrong explanation of the last decision.
func TestExplain(t *testing.T) {
	run := func(flow, log string) string {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, []byte(log), 0o600))
		c := newExplainCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetArgs([]string{"--flow", flow, path})
		require.NoError(t, c.Execute())
		return out.String()
	}
	out := run("203.0.113.7:51234", explainLog)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 6)
	assert.Contains(t, lines[0], `"placed"`)
	assert.Contains(t, lines[1], `"store was restored from a copy"`)
	assert.Contains(t, lines[2], `"upstream gone","upstream":7`)
	assert.Contains(t, lines[3], `"upstreamGone"`)
	assert.Contains(t, lines[5], "reset, since the upstream had been removed")
	assert.Contains(t, lines[5], "version 4")
	assert.Contains(t, run("203.0.113.9:1", explainLog), "No decision")
	assert.Error(t, func() error { c := newExplainCommand(); c.SetArgs([]string{"--flow", "here"}); return c.Execute() }())
}

// TestExplanations guards against reasons without an explanation of their own
// for operators.
func TestExplanations(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range bvtoken.Reasons() {
		assert.NotEmpty(t, r.Explanation())
		assert.NotEmpty(t, r.String())
		assert.False(t, seen[r.Explanation()], r)
		seen[r.Explanation()] = true
	}
}
