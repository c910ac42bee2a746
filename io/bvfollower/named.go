package bvfollower

import (
	"slices"

	"go.uber.org/zap"
)

// maxRedirects bounds how often a source that was named by another one may name
// others in turn, before the follower goes back to its own sources.
const maxRedirects = 8

// named are the sources that one of the own sources, or one of these, has
// named. The first one is followed until it fails.
type named struct {
	sources []Source
	by      int // The own source that began it.
	depth   int // Redirections since then.
}

// leaveNamed goes back to the own sources.
func (f *Follower) leaveNamed() {
	if f.named == nil {
		return
	}
	for _, s := range f.named.sources {
		s.Store.Disconnect()
	}
	f.named = nil
}

// redirected follows the sources that the source of q has named. If there are
// none, or too many have named others, the own source that began it counts as
// failed.
func (f *Follower) redirected(q *query, r *Redirect) {
	by, depth := q.own, 1
	if q.named != nil {
		by, depth = q.named.by, q.named.depth+1
	}
	switch {
	case q.named != nil && q.named != f.named:
		return // Others are followed meanwhile.
	case q.named == nil && f.named != nil:
		// Those named before have let the state grow old.
		f.list.Failed(f.clock.Now(), f.named.by)
	}
	f.leaveNamed()
	if f.options.Peer == nil || len(r.Others) == 0 || depth > maxRedirects {
		f.failed(q.source, r)
		f.list.Failed(f.clock.Now(), by)
		return
	}
	q.source.Store.Disconnect()
	f.log.Info("source names others to follow", zap.String("source", q.source.Name), zap.Stringers("others", r.Others))
	f.named = &named{by: by, depth: depth}
	for _, a := range r.Others {
		f.named.sources = append(f.named.sources, f.options.Peer(a))
	}
}

// namedFailed takes note that the named source of q has failed. When all that
// were named have, so has the own source that began it.
func (f *Follower) namedFailed(q *query) {
	if q.named != f.named {
		return
	}
	n := f.named
	n.sources = slices.DeleteFunc(n.sources, func(s Source) bool { return s.Store == q.source.Store })
	if len(n.sources) == 0 {
		f.named = nil
		f.list.Failed(f.clock.Now(), n.by)
	}
}
