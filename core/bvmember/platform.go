package bvmember

import (
	"cmp"
	"time"

	"balsamvane/core/bvconfig"
)

// NoContact is the platform age of a node that has had no contact yet.
const NoContact = 1000 * time.Hour

// pseudoRandom returns a pseudo-random number for the node and a counter.
func (m *Members) pseudoRandom(n uint64) uint64 {
	// The constants are those of SplitMix64 (Steele, Lea, Flood, 2014).
	x := m.options.Seed ^ uint64(m.self) + n*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// jitteredReadDelay returns the jittered time from the latest platform contact of
// any node, or from this node's last scheduled read, to its next read.
func (m *Members) jitteredReadDelay() time.Duration {
	m.jitterCount++
	return m.options.PlatformReadAfter + time.Duration(m.pseudoRandom(m.jitterCount)%uint64(m.options.ReadJitter))
}

func (m *Members) recordPlatformContact(t time.Time) {
	if t.After(m.latestContactAt) {
		m.latestContactAt = t
		m.nextReadAt = t.Add(m.jitteredReadDelay())
	}
}

// PlatformContacted records that the platform has answered this node.
func (m *Members) PlatformContacted(now time.Time) {
	m.ownContactAt = now
	m.recordPlatformContact(now)
}

// WatchesPlatform reports whether this node is one of those that watch the
// platform: the highest-ranked live balancers of its zone.
func (m *Members) WatchesPlatform() bool {
	higherRanked := 0
	for _, p := range m.sortedPeers {
		if p.Zone == m.zone && p.Alive && p.State != StateLeaving && m.outranks(p.Node, m.self) {
			higherRanked++
		}
	}
	return m.state != StateLeaving && higherRanked < m.options.Watchers
}

// PlatformReadDue reports whether this node, which does not watch the platform,
// has to read it because no node has reported a contact for too long. Each true
// result schedules the next read.
func (m *Members) PlatformReadDue(now time.Time) bool {
	if m.options.noScheduledReads || m.nextReadAt.IsZero() || m.WatchesPlatform() || now.Before(m.nextReadAt) {
		return false
	}
	m.nextReadAt = now.Add(m.jitteredReadDelay())
	return true
}

// FetchTarget returns the peer from which to fetch a newer configuration; ok is
// false if no live peer has one or a fetch is in progress. If the version has
// not risen after the fetch timeout, it returns another peer. Nodes choose
// different peers, so that no single one has to serve all.
func (m *Members) FetchTarget(now time.Time) (t Target, v bvconfig.Version, ok bool) {
	if m.options.ignoreVersions || now.Before(m.nextFetchAt) {
		return Target{}, v, false
	}
	var best *peer
	choiceRank := func(p *peer) uint64 { return m.pseudoRandom(uint64(p.Node) + m.fetchCount) }
	for _, p := range m.sortedPeers {
		if !p.Alive || p.Version == m.rejected || p.Version.Compare(m.version) <= 0 {
			continue
		}
		if best == nil || cmp.Or(p.Version.Compare(best.Version), cmp.Compare(choiceRank(p), choiceRank(best))) > 0 {
			best = p
		}
	}
	if best == nil {
		return Target{}, v, false
	}
	m.fetchCount++
	m.nextFetchAt = now.Add(m.options.FetchTimeout)
	return Target{Node: best.Node, Tunnel: best.Tunnel, Control: best.Control}, best.Version, true
}

// RejectVersion records that a version is invalid, so that it is not fetched
// again.
func (m *Members) RejectVersion(v bvconfig.Version) { m.rejected = v }

// ZonePeersHaveRevision reports whether all active peers of the zone run the
// revision or a later one. A joining node uses its share of the limits only
// after they run the revision that first lists it.
func (m *Members) ZonePeersHaveRevision(revision uint64) bool {
	for _, p := range m.sortedPeers {
		if p.Zone == m.zone && p.Alive && p.State == StateActive && p.Version.Revision < revision {
			return false
		}
	}
	return true
}
