package bvcatalog

import (
	"cmp"
	"slices"

	"balsamvane/core/bvconfig"
)

// index finds entries by their tokens. The cost of an update does not depend on the
// number of entries.
type index struct {
	tokens map[Token]*Entry
	// shared holds the entries of each token that several entries have, by ID.
	shared map[Token][]*Entry
}

func newIndex() index {
	return index{tokens: map[Token]*Entry{}, shared: map[Token][]*Entry{}}
}

func byID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

// put adds or updates an entry. It returns the other entries that this has
// changed.
func (x *index) put(e *Entry) []*Entry {
	owner := x.tokens[e.Token]
	if owner == nil || owner == e && x.shared[e.Token] == nil {
		x.tokens[e.Token], e.shadowed = e, false
		return nil
	}
	all := x.shared[e.Token]
	if all == nil {
		all = []*Entry{owner}
	}
	if !slices.Contains(all, e) {
		all = append(all, e)
		slices.SortFunc(all, byID)
	}
	x.shared[e.Token] = all
	return x.assign(e.Token, e)
}

// remove removes an entry. It returns the other entries that this has changed.
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

// assign decides which of several entries owns a token. On all balancers that is
// the one with the lowest ID that was not removed. The others take no new flows.
// It returns the entries other than cause that this has changed.
func (x *index) assign(t Token, cause *Entry) (changed []*Entry) {
	all := x.shared[t]
	owner := slices.IndexFunc(all, func(e *Entry) bool { return !e.removed })
	x.tokens[t] = all[max(owner, 0)]
	for i, e := range all {
		shadowed := !e.removed && i != owner
		if shadowed != e.shadowed && e != cause {
			changed = append(changed, e)
		}
		e.shadowed = shadowed
	}
	return changed
}

// reindex updates the indexes for a new or changed entry.
func (c *Catalog) reindex(e *Entry) {
	for _, o := range c.index.put(e) {
		c.markChanged(o.listedIn)
	}
	c.list(e)
	if e.missing || e.removed {
		c.inactive[e.ID] = e
	} else {
		delete(c.inactive, e.ID)
	}
}

// unindex removes an entry from the indexes.
func (c *Catalog) unindex(e *Entry) {
	for _, o := range c.index.remove(e) {
		c.markChanged(o.listedIn)
	}
	c.unlist(e)
	delete(c.inactive, e.ID)
	c.changed = true
}

// list adds an entry to its service, unless it was removed.
func (c *Catalog) list(e *Entry) {
	c.changed = true
	name := e.Service
	if e.removed {
		name = ""
	}
	if name != e.listedIn {
		c.unlist(e)
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

// unlist removes an entry from its service.
func (c *Catalog) unlist(e *Entry) {
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

// setLimits sets the limits of a service; hasLimits is false if the configuration
// has none for it.
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

// commit starts a new generation if something has changed.
func (c *Catalog) commit() {
	if c.changed {
		c.generation++
		c.changed = false
	}
}
