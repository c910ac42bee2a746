package bvbaseline

import (
	"slices"

	"balsamvane/bench/bvload"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvpick"
)

// recordBytes is the size of a flow in a replication message: its key and its
// upstream. Message headers are not counted, which favours the baseline.
const recordBytes = 24

// Replication simulates the replication of every flow to a second balancer, with
// a byte budget for each balancer. The owner sends its flows in the order in
// which they opened and skips those that have closed since. If the owner fails
// before it has sent a flow, the flow goes to the upstream that hashing picks.
type Replication struct {
	budget float64 // Bytes for each tick.
	hasher bvflow.Hasher
	owners []bvpick.Candidate
	queues [][]*replica // Flows that each balancer has to send, in opening order.
	flows  map[*bvload.Flow]*replica
	credit []float64 // Bytes that each balancer may send in this tick.
}

type replica struct {
	owner        int
	sent, closed bool
}

// NewReplication returns the baseline for the balancers of a configuration.
func NewReplication(c bvconfig.Config, bytesPerSecond float64) *Replication {
	r := &Replication{
		budget: bytesPerSecond * bvnode.TickInterval.Seconds(), hasher: bvflow.NewHasher(c.HashSeed),
		queues: make([][]*replica, len(c.Balancers)), credit: make([]float64, len(c.Balancers)),
		flows: map[*bvload.Flow]*replica{},
	}
	for _, b := range c.Balancers {
		r.owners = append(r.owners, bvpick.Balancer(b.ID()))
	}
	return r
}

// Opened implements bvload.Observer.
func (r *Replication) Opened(f *bvload.Flow) {
	x := &replica{owner: bvpick.Best(r.hasher.Key(f.Tuple), r.owners)}
	r.flows[f] = x
	r.queues[x.owner] = append(r.queues[x.owner], x)
}

// Closed implements bvload.Observer.
func (r *Replication) Closed(f *bvload.Flow) {
	if x := r.flows[f]; x != nil {
		x.closed = true
		delete(r.flows, f)
	}
}

// Tick implements bvload.Observer.
func (r *Replication) Tick() {
	for i := range r.queues {
		r.credit[i] += r.budget
		q := r.queues[i]
		for ; len(q) > 0 && r.credit[i] >= recordBytes; q = q[1:] {
			if !q[0].closed {
				q[0].sent = true
				r.credit[i] -= recordBytes
			}
		}
		if len(q) == 0 {
			r.credit[i] = 0
		}
		r.queues[i] = q
	}
}

// CountLost returns two counts of flows whose owners, given by their indexes,
// fail. broken counts the flows that were not replicated and for which hashing
// under c picks another upstream. toReplicate counts all flows, since all of
// them have to be replicated again.
func (r *Replication) CountLost(c bvconfig.Config, owners ...int) (broken, toReplicate int) {
	p := NewPicker(c)
	for f, x := range r.flows {
		if !slices.Contains(owners, x.owner) {
			continue
		}
		toReplicate++
		if !x.sent && p.Pick(f) != f.Upstream {
			broken++
		}
	}
	return broken, toReplicate
}

// ReplicatedShare returns the share of the open flows that are replicated.
func (r *Replication) ReplicatedShare() float64 {
	n := 0
	for _, x := range r.flows {
		if x.sent {
			n++
		}
	}
	return float64(n) / float64(max(len(r.flows), 1))
}
