package main

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
)

// decodeConfig decodes and validates a published configuration.
func decodeConfig(manifest []byte, parts map[string][]byte) (bvconfig.Config, bvfinding.List) {
	c, findings := bvconfig.Decode(manifest, parts)
	if findings.Empty() {
		findings = bvconfig.Validate(c)
	}
	return c, findings
}
