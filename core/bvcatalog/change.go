package bvcatalog

import (
	"balsamvane/core/bvconfig"
)

// Change is one entry of the platform or its removal. The set of changes is
// closed.
type Change interface{ change() }

// Configuration is a configuration of the operators, which replaces the one before
// as a whole.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceLimits
}

// ZoneOutOfService takes a zone out of service.
type ZoneOutOfService struct{ Zone string }

// ZoneInService puts a zone back into service.
type ZoneInService struct{ Zone string }

// UpstreamPut is a new or changed entry of an upstream. Revision is that of
// the entry's last change.
type UpstreamPut struct {
	Revision Revision
	Upstream Upstream
}

// UpstreamRemoved is the removal of an upstream's entry.
type UpstreamRemoved struct {
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

func (Configuration) change()      {}
func (ZoneOutOfService) change()   {}
func (ZoneInService) change()      {}
func (UpstreamPut) change()        {}
func (UpstreamRemoved) change()    {}
func (UpstreamUnreadable) change() {}
