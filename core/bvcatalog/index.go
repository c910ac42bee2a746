package bvcatalog

import (
	"cmp"
	"slices"

	"balsamvane/core/bvconfig"
)

// index finds entries by their tokens. An entry costs the same however many
// there are.
type index struct {
	tokens map[Token]*Entry
	// shared holds the entries of tokens that several have, by ID.
	shared map[Token][]*Entry
}

func newIndex() index {
	return index{tokens: map[Token]*Entry{}, shared: map[Token][]*Entry{}}
}

func byID(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) }

// put adds an entry, or takes note that it has changed. It returns other
// entries that have changed by that.
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

// remove takes an entry out. It returns other entries that have changed by
// that.
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

// assign decides which of several entries has a token. The one with the lowest
// ID has it on all balancers, and the others take no new flows; one that is
// gone gives way.
func (x *index) assign(t Token, cause *Entry) (changed []*Entry) {
	all := x.shared[t]
	winner := slices.IndexFunc(all, func(e *Entry) bool { return !e.gone })
	x.tokens[t] = all[max(winner, 0)]
	for i, e := range all {
		shadowed := !e.gone && i != winner
		if shadowed != e.shadowed && e != cause {
			changed = append(changed, e)
		}
		e.shadowed = shadowed
	}
	return changed
}

// update brings the indexes in line with an entry that has changed.
func (c *Catalog) update(e *Entry) {
	for _, o := range c.index.put(e) {
		c.touch(o.listed)
	}
	c.list(e)
	if e.missing || e.gone {
		c.ending[e.ID] = e
	} else {
		delete(c.ending, e.ID)
	}
}

// forget removes an entry from the indexes.
func (c *Catalog) forget(e *Entry) {
	for _, o := range c.index.remove(e) {
		c.touch(o.listed)
	}
	c.unlist(e)
	delete(c.ending, e.ID)
	c.changed = true
}

// list enters an entry in its service, unless it is gone.
func (c *Catalog) list(e *Entry) {
	c.changed = true
	name := e.Service
	if e.gone {
		name = ""
	}
	if name != e.listed {
		c.unlist(e)
	}
	if name == "" {
		return
	}
	s := c.service(name)
	if e.listed == "" {
		i, _ := slices.BinarySearchFunc(s.Entries, e.ID, func(o *Entry, id bvconfig.UpstreamID) int { return cmp.Compare(o.ID, id) })
		s.Entries = slices.Insert(s.Entries, i, e)
		e.listed = name
	}
	c.touch(name)
}

// unlist takes an entry out of its service.
func (c *Catalog) unlist(e *Entry) {
	s := c.services[e.listed]
	if e.listed == "" || s == nil {
		return
	}
	s.Entries = slices.DeleteFunc(s.Entries, func(o *Entry) bool { return o == e })
	c.touch(e.listed)
	e.listed = ""
	if len(s.Entries) == 0 && !s.declared {
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

// setLimits takes the limits of a service, or the lack of them.
func (c *Catalog) setLimits(l ServiceLimits, declared bool) {
	s := c.service(l.Name)
	if s.ServiceLimits != l || s.declared != declared {
		s.ServiceLimits, s.declared = l, declared
		c.touch(l.Name)
	}
	if !declared && len(s.Entries) == 0 {
		delete(c.services, l.Name)
	}
}

// touch notes that a service has changed.
func (c *Catalog) touch(name string) {
	c.changed = true
	if s := c.services[name]; s != nil {
		s.Generation = c.generation + 1
	}
}

func (c *Catalog) touchAll() {
	for name := range c.services {
		c.touch(name)
	}
	c.changed = true
}

// commit ends a series of changes.
func (c *Catalog) commit() {
	if c.changed {
		c.generation++
		c.changed = false
	}
}
