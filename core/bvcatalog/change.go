package bvcatalog

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"
)

// Change is one entry of the platform or its removal. Only this package
// implements it.
type Change interface{ change() }

// Configuration is the operators' configuration. It replaces the previous one as
// a whole.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceLimits
}

// ZoneOutOfService takes a zone out of service.
type ZoneOutOfService struct{ Zone string }

// ZoneBackInService puts a zone back into service.
type ZoneBackInService struct{ Zone string }

// UpstreamPut is a new or changed entry of an upstream. Revision is that of
// the entry's last change.
type UpstreamPut struct {
	Revision bvrevision.Revision
	Upstream Upstream
}

// UpstreamRemoved is the removal of an upstream's entry.
type UpstreamRemoved struct {
	Revision bvrevision.Revision
	ID       bvconfig.UpstreamID
}

// UpstreamUnreadable is an entry that cannot be decoded or is invalid. Its upstream
// keeps the flows that it has but gets no new ones.
type UpstreamUnreadable struct {
	Revision bvrevision.Revision
	ID       bvconfig.UpstreamID
	Problem  string
}

func (Configuration) change()      {}
func (ZoneOutOfService) change()   {}
func (ZoneBackInService) change()  {}
func (UpstreamPut) change()        {}
func (UpstreamRemoved) change()    {}
func (UpstreamUnreadable) change() {}
