package bvforwarder

import (
	"balsamvane/core/bvcatalog"
	"balsamvane/io/bvfollower"
)

// provider gives the catalog to the balancers that follow this one.
type provider struct{ forwarder *Forwarder }

// All implements bvrelay.Provider.
func (p provider) All() (bvfollower.Listing, bool) {
	w := p.forwarder
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	return bvfollower.Listing{
		Revision: w.catalog.Revision(), Age: w.catalog.Age(now), Changes: w.catalog.All(now),
	}, w.catalog.Complete()
}

// Since implements bvrelay.Provider.
func (p provider) Since(after bvcatalog.Revision) (bvfollower.Listing, bool) {
	w := p.forwarder
	w.mu.Lock()
	defer w.mu.Unlock()
	cs, ok := w.catalog.Since(after)
	return bvfollower.Listing{Revision: w.catalog.Revision(), Age: w.catalog.Age(w.clock.Now()), Changes: cs}, ok
}

// Changed implements bvrelay.Provider.
func (p provider) Changed() <-chan struct{} {
	p.forwarder.mu.Lock()
	defer p.forwarder.mu.Unlock()
	return p.forwarder.changed
}
