package bvcatalog

import (
	"balsamvane/core/bvconfig"
)

// Change is one entry of the platform or its removal. The set of changes is
// closed.
type Change interface{ change() }

// Declared is a configuration of the operators, which replaces the one before
// as a whole.
type Declared struct {
	Version  uint64
	Routes   []Route
	Services []ServiceLimits
}

// ZoneOut takes a zone out of service.
type ZoneOut struct{ Zone string }

// ZoneBack puts a zone back into service.
type ZoneBack struct{ Zone string }

// UpstreamPut is a new or changed entry of an upstream. Revision is that of
// the entry's last change.
type UpstreamPut struct {
	Revision Revision
	Upstream Upstream
}

// UpstreamGone is the removal of an upstream's entry.
type UpstreamGone struct {
	Revision Revision
	ID       bvconfig.UpstreamID
}

// UpstreamUnreadable is an entry that names no upstream to use. Flows that
// its upstream already holds stay.
type UpstreamUnreadable struct {
	Revision Revision
	ID       bvconfig.UpstreamID
	Problem  string
}

func (Declared) change()           {}
func (ZoneOut) change()            {}
func (ZoneBack) change()           {}
func (UpstreamPut) change()        {}
func (UpstreamGone) change()       {}
func (UpstreamUnreadable) change() {}
