package bvcatalog

import (
	"net/netip"
	"strings"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"
)

// Other writers may write any value among the entries of the upstreams. These limits
// bound what of it is kept, logged and sent to other balancers.
const (
	// maxNameBytes limits the names of services and zones. The platform's keys, of
	// which a zone's name is a part, have at most 200 bytes.
	maxNameBytes = 256
	// maxProblemBytes limits the text of a problem, which may quote the entry.
	maxProblemBytes = 256
	// maxSlots limits the requests that a VM serves at once. An upstream with more
	// would look idle under any load and get all flows.
	maxSlots = 1 << 16
	// maxColdFor limits how much longer an upstream stays cold.
	maxColdFor = time.Hour
)

// NewPut returns the change for an upstream's new or changed entry: an [UpstreamPut],
// or an [UpstreamUnreadable] if no upstream can be as the entry says.
func NewPut(r bvrevision.Revision, u Upstream) Change {
	if problem := u.problem(); problem != "" {
		return NewUnreadable(r, u.ID, problem)
	}
	return UpstreamPut{Revision: r, Upstream: u}
}

// NewUnreadable returns the change for an entry that cannot be decoded or is invalid.
// It cuts a long problem, and keeps no reference to the rest of it.
func NewUnreadable(r bvrevision.Revision, id bvconfig.UpstreamID, problem string) UpstreamUnreadable {
	if len(problem) > maxProblemBytes {
		problem = strings.Clone(strings.ToValidUTF8(problem[:maxProblemBytes], ""))
	}
	return UpstreamUnreadable{Revision: r, ID: id, Problem: problem}
}

// problem returns why no upstream can be as described, or "".
func (u *Upstream) problem() string {
	switch {
	case u.Service == "" || u.Zone == "":
		return "service or zone is missing"
	case len(u.Service) > maxNameBytes || len(u.Zone) > maxNameBytes:
		return "service or zone is too long"
	case !isDestination(u.Address):
		return "address is not that of a VM"
	case u.Slots == 0 || u.Slots > maxSlots:
		return "slots are missing or out of range"
	case u.ColdFor < 0 || u.ColdFor > maxColdFor:
		return "time left cold is out of range"
	}
	return ""
}

// isDestination reports whether packets can be sent to an address.
func isDestination(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	broadcast := ip == netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return ip.IsValid() && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && !broadcast && a.Port() != 0
}
