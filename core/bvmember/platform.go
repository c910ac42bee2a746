package bvmember

import (
	"cmp"
	"time"

	"balsamvane/core/bvconfig"
)

// NoContact is the platform age of a node that has had no contact yet.
const NoContact = 1000 * time.Hour

// mix returns a pseudo-random number for the node and a counter.
func (m *Members) mix(n uint64) uint64 {
	// The constants are those of SplitMix64 (Steele, Lea, Flood, 2014).
	x := m.options.Seed ^ uint64(m.self) + n*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// silence returns a jittered time without news after which the node reads.
func (m *Members) silence() time.Duration {
	m.draws++
	return m.options.PlatformReadAfter + time.Duration(m.mix(m.draws)%uint64(m.options.ReadJitter))
}

func (m *Members) notePlatform(t time.Time) {
	if t.After(m.news) {
		m.news = t
		m.read = t.Add(m.silence())
	}
}

// PlatformContacted records that the platform has answered this node.
func (m *Members) PlatformContacted(now time.Time) {
	m.contact = now
	m.notePlatform(now)
}

// WatchesPlatform reports whether this node is one of those that watch the platform:
// the highest-ranked live balancers of its zone.
func (m *Members) WatchesPlatform() bool {
	above := 0
	for _, p := range m.order {
		if p.Zone == m.zone && p.Alive && p.State != StateLeaving && m.outranks(p.Node, m.self) {
			above++
		}
	}
	return m.state != StateLeaving && above < m.options.Watchers
}

// PlatformReadDue reports whether this node, which does not watch, has to read the
// platform because it has had no news of a contact for too long. Each true
// result schedules the next read.
func (m *Members) PlatformReadDue(now time.Time) bool {
	if m.options.noSilenceReading || m.read.IsZero() || m.WatchesPlatform() || now.Before(m.read) {
		return false
	}
	m.read = now.Add(m.silence())
	return true
}

// FetchTarget returns the peer from which to fetch a newer configuration; ok is
// false if no live peer has one or a fetch is under way. If the version has
// not risen after the fetch timeout, it returns another peer. Nodes choose
// different peers, so that no single one has to serve all.
func (m *Members) FetchTarget(now time.Time) (t Target, v bvconfig.Version, ok bool) {
	if m.options.ignoreVersions || now.Before(m.fetchAgain) {
		return Target{}, v, false
	}
	var best *peer
	score := func(p *peer) uint64 { return m.mix(uint64(p.Node) + m.fetches) }
	for _, p := range m.order {
		if !p.Alive || p.Version == m.rejected || p.Version.Compare(m.version) <= 0 {
			continue
		}
		if best == nil || cmp.Or(p.Version.Compare(best.Version), cmp.Compare(score(p), score(best))) > 0 {
			best = p
		}
	}
	if best == nil {
		return Target{}, v, false
	}
	m.fetches++
	m.fetchAgain = now.Add(m.options.FetchTimeout)
	return Target{Node: best.Node, Tunnel: best.Tunnel, Control: best.Control}, best.Version, true
}

// RejectVersion records that a version has been found invalid, so that it is not
// fetched again and again.
func (m *Members) RejectVersion(v bvconfig.Version) { m.rejected = v }

// ZonePeersHaveRevision reports whether all active peers of the zone run the revision or a
// later one. A node that joins waits for it with the revision that first lists
// it, before it uses a share of the limits.
func (m *Members) ZonePeersHaveRevision(revision uint64) bool {
	for _, p := range m.order {
		if p.Zone == m.zone && p.Alive && p.State == StateActive && p.Version.Revision < revision {
			return false
		}
	}
	return true
}
