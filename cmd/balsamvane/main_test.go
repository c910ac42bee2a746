package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func executeRoot(t *testing.T, args ...string) (string, error) {
	var out strings.Builder
	c := newRoot()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// TestCommands guards against a balancer that starts with invalid settings, and
// against a report of only some of their problems.
func TestCommands(t *testing.T) {
	out, err := executeRoot(t, "run", "--print-settings")
	require.NoError(t, err)
	assert.Contains(t, out, "packetQueue: 1024")
	out, err = executeRoot(t, "version")
	require.NoError(t, err)
	assert.Contains(t, out, "balsamvane")
	_, err = executeRoot(t, "run")
	require.ErrorContains(t, err, "--settings")
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("node: a\nzone: 3\ncolour: red\n"), 0o600))
	_, err = executeRoot(t, "run", "--settings", path)
	require.ErrorContains(t, err, ":2:7: zone")
	require.ErrorContains(t, err, ":3:1: unknown setting")
}
