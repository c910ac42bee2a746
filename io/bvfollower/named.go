package bvfollower

import (
	"context"
	"errors"

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

func (n *named) first() (Source, bool) {
	if len(n.sources) == 0 {
		return Source{}, false
	}
	return n.sources[0], true
}

func (n *named) clear() {
	for _, s := range n.sources {
		s.Store.Disconnect()
	}
	*n = named{}
}

// redirected follows what the own source i has named.
func (f *Follower) redirected(i int, s Source, r *Redirect) {
	f.named = named{by: i}
	f.follow(s, r)
}

// follow takes the sources that s has named. If there are none, or too many
// have named others, the own source that began it counts as failed.
func (f *Follower) follow(s Source, r *Redirect) {
	by, depth := f.named.by, f.named.depth+1
	f.named.clear()
	if f.options.Peer == nil || len(r.Others) == 0 || depth > maxRedirects {
		f.failed(s, r)
		f.list.Failed(f.clock.Now(), by)
		return
	}
	s.Store.Disconnect()
	f.log.Info("source names others to follow", zap.String("source", s.Name), zap.Stringers("others", r.Others))
	f.named = named{by: by, depth: depth}
	for _, a := range r.Others {
		f.named.sources = append(f.named.sources, f.options.Peer(a))
	}
}

// settleNamed takes note of the outcome of a call to the named source s.
func (f *Follower) settleNamed(ctx context.Context, s Source, err error) {
	var r *Redirect
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &r):
		f.follow(s, r)
	case err != nil:
		f.failed(s, err)
		f.named.sources = f.named.sources[1:]
		if len(f.named.sources) == 0 {
			f.list.Failed(f.clock.Now(), f.named.by)
		}
	default:
		f.answered(s)
	}
}
