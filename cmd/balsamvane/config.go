package main

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
)

// decodeConfig decodes and validates a published configuration. It rejects
// every configuration until bvconfig.Decode takes its place.
func decodeConfig(_ []byte, _ map[string][]byte) (bvconfig.Config, bvfinding.List) {
	var l bvfinding.List
	l.Add(bvfinding.Place{File: "manifest"}, "this build cannot decode configurations", "")
	return bvconfig.Config{}, l
}
