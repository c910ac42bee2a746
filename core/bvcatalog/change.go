package bvcatalog

import (
	"balsamvane/core/bvconfig"
)

// Change is a new or changed entry of the platform, or the removal of one. No
// other package can implement it.
type Change interface{ isChange() }

// Configuration is a configuration of the operators. It replaces the previous
// one as a whole.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceLimits
}

// ZoneOutOfService takes a zone out of service.
type ZoneOutOfService struct{ Zone string }

// ZoneInService returns a zone to service.
type ZoneInService struct{ Zone string }

// UpstreamPut is a new or changed entry of an upstream. Revision is the
// revision of the entry's last change.
type UpstreamPut struct {
	Revision Revision
	Upstream Upstream
}

// UpstreamRemoved is the removal of an upstream's entry.
type UpstreamRemoved struct {
	Revision Revision
	ID       bvconfig.UpstreamID
}

// UpstreamUnreadable is an entry of an upstream that cannot be read. The
// upstream takes no new flows and keeps those that it has.
type UpstreamUnreadable struct {
	Revision Revision
	ID       bvconfig.UpstreamID
	Problem  string
}

func (Configuration) isChange()      {}
func (ZoneOutOfService) isChange()   {}
func (ZoneInService) isChange()      {}
func (UpstreamPut) isChange()        {}
func (UpstreamRemoved) isChange()    {}
func (UpstreamUnreadable) isChange() {}
