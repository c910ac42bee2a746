package bvcatalog

import (
	"cmp"
	"slices"

	"balsamvane/core/bvconfig"
)

// index finds entries by their tokens. The cost of an update does not depend on
// the number of entries.
type index struct {
	tokens map[Token]*Entry
	// shared holds the entries of each token that several entries have, by ID.
	shared map[Token][]*Entry
}

func newIndex() index {
	return index{tokens: map[Token]*Entry{}, shared: map[Token][]*Entry{}}
}

func byID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

// put adds or updates an entry. It returns the other entries that this changed.
func (x *index) put(e *Entry) []*Entry {
	holder := x.tokens[e.Token]
	if holder == nil || holder == e && x.shared[e.Token] == nil {
		x.tokens[e.Token], e.shadowed = e, false
		return nil
	}
	all := x.shared[e.Token]
	if all == nil {
		all = []*Entry{holder}
	}
	if !slices.Contains(all, e) {
		all = append(all, e)
		slices.SortFunc(all, byID)
	}
	x.shared[e.Token] = all
	return x.assign(e.Token, e)
}

// remove removes an entry. It returns the other entries that this changed.
func (x *index) remove(e *Entry) []*Entry {
	all := x.shared[e.Token]
	if all == nil {
		if x.tokens[e.Token] == e {
			delete(x.tokens, e.Token)
		}
		return nil
	}
	all = slices.DeleteFunc(all, func(o *Entry) bool { return o == e })
	x.shared[e.Token] = all
	changed := x.assign(e.Token, e)
	if len(all) < 2 {
		delete(x.shared, e.Token)
	}
	return changed
}

// assign decides which of several entries with the same token owns it. On all
// balancers this is the entry with the lowest ID that is not removed. The other
// entries take no new flows.
func (x *index) assign(t Token, cause *Entry) (changed []*Entry) {
	all := x.shared[t]
	winner := slices.IndexFunc(all, func(e *Entry) bool { return !e.removed })
	x.tokens[t] = all[max(winner, 0)]
	for i, e := range all {
		shadowed := !e.removed && i != winner
		if shadowed != e.shadowed && e != cause {
			changed = append(changed, e)
		}
		e.shadowed = shadowed
	}
	return changed
}

// reindex updates the indexes after a change of an entry.
func (c *Catalog) reindex(e *Entry) {
	for _, o := range c.index.put(e) {
		c.markChanged(o.listedIn)
	}
	c.addToService(e)
	if e.maybeExpired || e.removed {
		c.removals[e.ID] = e
	} else {
		delete(c.removals, e.ID)
	}
}

// unindex removes an entry from the indexes.
func (c *Catalog) unindex(e *Entry) {
	for _, o := range c.index.remove(e) {
		c.markChanged(o.listedIn)
	}
	c.removeFromService(e)
	delete(c.removals, e.ID)
	c.changed = true
}

// addToService adds an entry to its service, unless the entry is removed.
func (c *Catalog) addToService(e *Entry) {
	c.changed = true
	name := e.Service
	if e.removed {
		name = ""
	}
	if name != e.listedIn {
		c.removeFromService(e)
	}
	if name == "" {
		return
	}
	s := c.service(name)
	if e.listedIn == "" {
		i, _ := slices.BinarySearchFunc(s.Entries, e.ID, func(o *Entry, id bvconfig.UpstreamID) int { return cmp.Compare(o.ID, id) })
		s.Entries = slices.Insert(s.Entries, i, e)
		e.listedIn = name
	}
	c.markChanged(name)
}

// removeFromService removes an entry from its service.
func (c *Catalog) removeFromService(e *Entry) {
	s := c.services[e.listedIn]
	if e.listedIn == "" || s == nil {
		return
	}
	s.Entries = slices.DeleteFunc(s.Entries, func(o *Entry) bool { return o == e })
	c.markChanged(e.listedIn)
	e.listedIn = ""
	if len(s.Entries) == 0 && !s.hasLimits {
		delete(c.services, s.Name)
	}
}

func (c *Catalog) service(name string) *Service {
	s := c.services[name]
	if s == nil {
		s = &Service{ServiceLimits: ServiceLimits{Name: name}}
		c.services[name] = s
	}
	return s
}

// setLimits sets the limits of a service, or clears them if hasLimits is false.
func (c *Catalog) setLimits(l ServiceLimits, hasLimits bool) {
	s := c.service(l.Name)
	if s.ServiceLimits != l || s.hasLimits != hasLimits {
		s.ServiceLimits, s.hasLimits = l, hasLimits
		c.markChanged(l.Name)
	}
	if !hasLimits && len(s.Entries) == 0 {
		delete(c.services, l.Name)
	}
}

// markChanged records that a service has changed.
func (c *Catalog) markChanged(name string) {
	c.changed = true
	if s := c.services[name]; s != nil {
		s.Generation = c.generation + 1
	}
}

func (c *Catalog) markAllChanged() {
	for name := range c.services {
		c.markChanged(name)
	}
	c.changed = true
}

// commit ends a series of changes and sets a new generation if there were any.
func (c *Catalog) commit() {
	if c.changed {
		c.generation++
		c.changed = false
	}
}
