package bvforwarder

import (
	"slices"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvrevision"
	"balsamvane/io/bvfollower"
)

// provider serves the catalog to the balancers that follow this one.
type provider struct{ forwarder *Forwarder }

// All implements bvrelay.Provider.
func (p provider) All() (bvfollower.Listing, bool) {
	w := p.forwarder
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	return p.listing(now, w.catalog.All(now)), w.catalog.Complete()
}

// Since implements bvrelay.Provider.
func (p provider) Since(after bvrevision.Revision) (bvfollower.Listing, bool) {
	w := p.forwarder
	w.mu.Lock()
	defer w.mu.Unlock()
	cs, ok := w.catalog.Since(after)
	return p.listing(w.clock.Now(), cs), ok
}

// listing returns changes with the revision and age of the catalog and the path
// from the store. The caller holds the forwarder's mutex.
func (p provider) listing(now time.Time, cs []bvcatalog.Change) bvfollower.Listing {
	w := p.forwarder
	return bvfollower.Listing{
		Revision: w.catalog.Revision(), Age: w.catalog.Age(now), Watermark: w.catalog.Watermark(), Changes: cs,
		Path: append(slices.Clone(w.follower.Path()), w.settings.Listen.Control),
	}
}

// Changed implements bvrelay.Provider.
func (p provider) Changed() <-chan struct{} {
	p.forwarder.mu.Lock()
	defer p.forwarder.mu.Unlock()
	return p.forwarder.catalogChanged
}
