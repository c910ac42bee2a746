package bvconfig

import (
	"errors"
	"slices"
	"time"

	"balsamvane/core/bvfinding"
)

// ShareWindow is how long a superseded list of balancers still counts when
// limits are divided into shares. It covers the time in which a balancer may
// still use the earlier list.
const ShareWindow = 10 * time.Minute

// MinTimeInForce is how long a revision must have been in force before the next
// one to become a base. If two configurations were published with the same
// revision, all nodes have the same one by then, and so the same base lists.
const MinTimeInForce = time.Minute

// ErrNotRetained is returned for a revision that the store does not hold, or
// that has not been in force for long enough.
var ErrNotRetained = errors.New("bvconfig: revision is not retained or not old enough")

// StoreOptions are the settings of a [Store]. The zero value is usable.
type StoreOptions struct {
	// Group, if set, is the only group of which configurations are accepted.
	Group string
	// BaseRetention and ShareWindow default to the constants of that name.
	BaseRetention time.Duration
	ShareWindow   time.Duration

	ignoreVersions     bool // For tests: accept any configuration, whatever its version.
	skipValidation     bool // For tests: accept invalid configurations.
	skipMinTimeInForce bool // For tests: accept a base that was in force only briefly.
}

// Outcome is the result of [Store.Offer]: one of [Accepted], [Older], [Same],
// [Conflict] and [Invalid].
type Outcome interface{ outcome() }

// Accepted is the outcome if the offered configuration is now in force.
type Accepted struct {
	Version  Version
	Previous Version // Zero if there was none.
}

// Older is the outcome if the offered configuration is older than the one in
// force.
type Older struct {
	Offered Version
	Current Version
}

// Same is the outcome if the offered configuration is in force already.
type Same struct{}

// Conflict is the outcome if two configurations were published with the same
// revision. The one with the higher hash is in force on all nodes.
type Conflict struct {
	Offered  Version
	Previous Version
	// Adopted is true if the offered configuration has the higher hash.
	Adopted bool
	// BaseReplaced is true if the replaced configuration was also the base;
	// all entries have to be compared with the new base lists.
	BaseReplaced bool
}

// Invalid is the outcome if the offered configuration is invalid; the one in
// force stays.
type Invalid struct {
	Offered  Version
	Findings bvfinding.List
}

func (Accepted) outcome() {}
func (Older) outcome()    {}
func (Same) outcome()     {}
func (Conflict) outcome() {}
func (Invalid) outcome()  {}

// Generation is a configuration with the time at which it came into force on
// this node. Configurations are not modified after they have been offered.
type Generation struct {
	Config Config
	Since  time.Time
}

// supersededBalancers are the balancers of a superseded configuration.
type supersededBalancers struct {
	list  []Balancer
	until time.Time
}

// Store holds the configuration in force and the earlier ones that are still
// needed. It never goes back to a lower [Version]. It is not safe for
// concurrent use.
type Store struct {
	options     StoreOptions
	generations []Generation // Ordered by version; the last is in force.
	base        int          // Index of the base in generations.
	history     []supersededBalancers
}

// NewStore returns an empty store.
func NewStore(o StoreOptions) *Store {
	if o.BaseRetention == 0 {
		o.BaseRetention = BaseRetention
	}
	if o.ShareWindow == 0 {
		o.ShareWindow = ShareWindow
	}
	return &Store{options: o}
}

// Current returns the configuration in force; ok is false if there is none.
func (s *Store) Current() (c Config, ok bool) {
	if len(s.generations) == 0 {
		return Config{}, false
	}
	return s.generations[len(s.generations)-1].Config, true
}

// Version returns the version in force, or zero.
func (s *Store) Version() Version {
	c, _ := s.Current()
	return c.Version
}

// Offer puts a configuration read from the platform or a peer in force, if it
// is valid and its version is higher than the current one.
func (s *Store) Offer(c Config, now time.Time) Outcome {
	current, ok := s.Current()
	order := c.Version.Compare(current.Version)
	conflict := ok && c.Version.Revision == current.Version.Revision && order != 0
	switch {
	case ok && order == 0:
		return Same{}
	case s.options.ignoreVersions:
	case conflict && order < 0:
		return Conflict{Offered: c.Version, Previous: current.Version}
	case order < 0:
		return Older{Offered: c.Version, Current: current.Version}
	}
	if l := s.validate(c, current, ok); !l.Empty() {
		return Invalid{Offered: c.Version, Findings: l}
	}
	s.supersede(current, now)
	if conflict {
		return s.replace(c, now)
	}
	s.generations = append(s.generations, Generation{Config: c, Since: now})
	return Accepted{Version: c.Version, Previous: current.Version}
}

func (s *Store) validate(c, current Config, ok bool) (l bvfinding.List) {
	if s.options.skipValidation {
		return l
	}
	l = Validate(c)
	want := s.options.Group
	if want == "" && ok {
		want = current.Group
	}
	if want != "" && c.Group != want {
		l.Add(bvfinding.Place{File: ManifestKey(c.Group)}, "the configuration belongs to group "+c.Group, "publish the configuration of group "+want)
	}
	return l
}

func (s *Store) replace(c Config, now time.Time) Outcome {
	last := len(s.generations) - 1
	previous := s.generations[last].Config.Version
	s.generations[last] = Generation{Config: c, Since: now}
	return Conflict{Offered: c.Version, Previous: previous, Adopted: true, BaseReplaced: s.base == last}
}

func (s *Store) supersede(old Config, now time.Time) {
	s.history = slices.DeleteFunc(s.history, func(h supersededBalancers) bool { return !h.until.After(now) })
	if len(old.Balancers) > 0 {
		s.history = append(s.history, supersededBalancers{old.Balancers, now.Add(s.options.ShareWindow)})
	}
}

// CountBalancers returns the number of different balancers published for the
// zone in the configuration in force and those superseded within the share
// window. A replaced balancer counts along with its replacement, since it may be
// partitioned and still use its share.
func (s *Store) CountBalancers(now time.Time, zone string) int {
	names := map[string]bool{}
	count := func(bs []Balancer) {
		for _, b := range bs {
			if b.Zone == zone {
				names[b.Name] = true
			}
		}
	}
	if c, ok := s.Current(); ok {
		count(c.Balancers)
	}
	for _, h := range s.history {
		if h.until.After(now) {
			count(h.list)
		}
	}
	return len(names)
}

// Base returns the generation whose upstream lists give the base picks.
func (s *Store) Base() (g Generation, ok bool) {
	if len(s.generations) == 0 {
		return Generation{}, false
	}
	return s.generations[s.base], true
}

// At returns the retained generation with the revision.
func (s *Store) At(revision uint64) (g Generation, ok bool) {
	i := s.index(revision)
	if i < 0 {
		return Generation{}, false
	}
	return s.generations[i], true
}

func (s *Store) index(revision uint64) int {
	return slices.IndexFunc(s.generations, func(g Generation) bool { return g.Config.Version.Revision == revision })
}

// BaseCandidate returns the highest generation above the base that has been
// in force for the base retention period and was not superseded within
// [MinTimeInForce]. Entries that differ from the candidate's picks have to be
// replicated before a call of [Store.SetBase].
func (s *Store) BaseCandidate(now time.Time) (g Generation, ok bool) {
	for i := len(s.generations) - 1; i > s.base; i-- {
		if s.baseEligible(i, now) {
			return s.generations[i], true
		}
	}
	return Generation{}, false
}

// baseEligible reports whether generation i may become the base.
func (s *Store) baseEligible(i int, now time.Time) bool {
	since := s.generations[i].Since
	longEnough := i == len(s.generations)-1 || s.generations[i+1].Since.Sub(since) >= MinTimeInForce || s.options.skipMinTimeInForce
	return longEnough && now.Sub(since) >= s.options.BaseRetention
}

// SetBase moves the base up to a retained revision that has been in force for
// the base retention period.
func (s *Store) SetBase(now time.Time, revision uint64) error {
	i := s.index(revision)
	if i < s.base || i < 0 || i > s.base && !s.baseEligible(i, now) {
		return ErrNotRetained
	}
	s.base = i
	return nil
}

// Retain adds an earlier configuration that a peer holds as a base, so that
// its picks can be computed; it never changes the configuration in force. age
// is how long it has been in force on the peer. Retain reports whether the
// configuration was added. Nothing is added if the store has no configuration
// or already holds the revision, or if the revision is not below the current
// one.
func (s *Store) Retain(c Config, age time.Duration, now time.Time) bool {
	current, ok := s.Current()
	if !ok || c.Version.Revision >= current.Version.Revision || s.index(c.Version.Revision) >= 0 {
		return false
	}
	i := slices.IndexFunc(s.generations, func(g Generation) bool { return g.Config.Version.Compare(c.Version) > 0 })
	s.generations = slices.Insert(s.generations, i, Generation{Config: c, Since: now.Add(-age)})
	if i <= s.base {
		s.base++
	}
	return true
}

// AdoptBase sets the base of a joining node to the base revision of its
// peers, which has to be retained. It may lower the base.
func (s *Store) AdoptBase(revision uint64) error {
	i := s.index(revision)
	if i < 0 {
		return ErrNotRetained
	}
	s.base = i
	return nil
}

// Prune removes the generations below the base and below lowest, the lowest
// base revision that a peer announces.
func (s *Store) Prune(lowest uint64) {
	n := 0
	for n < s.base && s.generations[n].Config.Version.Revision < lowest {
		n++
	}
	s.generations = slices.Delete(s.generations, 0, n)
	s.base -= n
}
