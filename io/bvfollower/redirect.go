package bvfollower

import (
	"slices"

	"go.uber.org/zap"
)

// maxRedirects is the maximum number of consecutive redirects before the
// follower returns to its own sources.
const maxRedirects = 8

// redirection holds the targets of the last redirect. The first one is followed
// until it fails.
type redirection struct {
	sources []Source
	origin  int // Index of the own source that redirected first.
	depth   int // Number of consecutive redirects.
}

// endRedirection returns to the own sources.
func (f *Follower) endRedirection() {
	if f.redirection == nil {
		return
	}
	for _, s := range f.redirection.sources {
		s.Store.Disconnect()
	}
	f.redirection = nil
}

// followRedirect switches to the targets of a redirect in answer to q. If there
// are none, or there were too many redirects, the own source that redirected
// first counts as failed.
func (f *Follower) followRedirect(q *query, r *Redirect) {
	origin, depth := q.ownIndex, 1
	if q.redirection != nil {
		origin, depth = q.redirection.origin, q.redirection.depth+1
	}
	switch {
	case q.redirection != nil && q.redirection != f.redirection:
		return // Another redirection has replaced that of q.
	case q.redirection == nil && f.redirection != nil:
		// The state has grown old with the targets of the previous redirect.
		f.list.Failed(f.clock.Now(), f.redirection.origin)
	}
	f.endRedirection()
	if f.options.Peer == nil || len(r.Others) == 0 || depth > maxRedirects {
		f.disconnect(q.source, r)
		f.list.Failed(f.clock.Now(), origin)
		return
	}
	q.source.Store.Disconnect()
	f.log.Info("source names others to follow", zap.String("source", q.source.Name), zap.Stringers("others", r.Others))
	f.redirection = &redirection{origin: origin, depth: depth}
	for _, a := range r.Others {
		f.redirection.sources = append(f.redirection.sources, f.options.Peer(a))
	}
}

// redirectTargetFailed removes the source of q from the targets of the redirect.
// When all targets have failed, the own source that redirected first counts as
// failed too.
func (f *Follower) redirectTargetFailed(q *query) {
	if q.redirection != f.redirection {
		return
	}
	n := f.redirection
	n.sources = slices.DeleteFunc(n.sources, func(s Source) bool { return s.Store == q.source.Store })
	if len(n.sources) == 0 {
		f.redirection = nil
		f.list.Failed(f.clock.Now(), n.origin)
	}
}
