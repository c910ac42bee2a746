package bvtoken

import (
	"slices"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

const (
	// hedgedSlots is the number of slots for hedged flows. An opening is not hedged
	// while another flow uses its slot.
	hedgedSlots = 1 << 11
	// hedgedTimeout is the time without a packet after which a hedged flow is
	// forgotten. By then the upstreams that the caller did not choose have given up
	// their answers to the opening.
	hedgedTimeout = 30 * time.Second
	// endedTimeout replaces hedgedTimeout after the end of the flow, when only late
	// copies of its packets may follow. It is short, since the caller may use its port
	// for a new flow that another balancer opens.
	endedTimeout = 2 * time.Second
	// maxHedgedTokens is the number of upstreams that may have received the openings of
	// a flow: the first, the hedge, and those of the caller's two repeated openings.
	maxHedgedTokens = 4
)

// hedgedFlows holds the flows whose opening was sent to two upstreams. Both may answer,
// and the caller echoes the token that it received last, although the flow is open at
// the upstream whose answer it received first. So all packets of the flow go to the
// upstream of the caller's first packet.
type hedgedFlows struct {
	slots []hedgedFlow
	// tags holds part of the key of each slot's flow. Packets of other flows read only
	// these, which fit into a processor's cache.
	tags []uint32
	// until is when the last flow is forgotten, so that packets need no look-up while
	// there are none.
	until time.Time
}

// hedgedFlow is a flow whose opening was sent to several upstreams.
type hedgedFlow struct {
	key      bvflow.Key
	sequence uint32 // Of the opening.
	tokens   [maxHedgedTokens]bvcatalog.Token
	pinned   bvcatalog.Token // 0 until the caller's first packet.
	openedAt time.Time       // When that packet was routed.
	until    time.Time       // When the flow is forgotten; zero if the slot is empty.
	ended    bool
	// awaited is true while the load of the second upstream includes the opening, which
	// was sent there at sentAt; zero until then.
	awaited bool
	second  bvconfig.UpstreamID
	sentAt  time.Time
}

func newHedgedFlows() hedgedFlows {
	return hedgedFlows{slots: make([]hedgedFlow, hedgedSlots), tags: make([]uint32, hedgedSlots)}
}

func (s *hedgedFlows) slot(k bvflow.Key) *hedgedFlow { return &s.slots[k.High()%hedgedSlots] }

// get returns a hedged flow, or nil.
func (s *hedgedFlows) get(now time.Time, k bvflow.Key) *hedgedFlow {
	if high := k.High(); s.tags[high%hedgedSlots] != uint32(high>>32) || !now.Before(s.until) {
		return nil
	}
	if x := s.slot(k); x.key == k && now.Before(x.until) {
		return x
	}
	return nil
}

// hasRoom reports whether a flow can be added without forgetting another one.
func (s *hedgedFlows) hasRoom(now time.Time, k bvflow.Key) bool {
	x := s.slot(k)
	return !x.awaited && (x.key == k || !now.Before(x.until))
}

// add adds the flow of an opening that was sent to two upstreams, and returns its slot,
// counted from 1.
func (s *hedgedFlows) add(now time.Time, c hedgeCandidate, first bvcatalog.Token, second *bvcatalog.Entry) uint16 {
	x := s.slot(c.key)
	*x = hedgedFlow{
		key: c.key, sequence: c.sequence, tokens: [maxHedgedTokens]bvcatalog.Token{first, second.Token},
		awaited: true, second: second.ID,
	}
	s.extend(now, x)
	high := c.key.High()
	s.tags[high%hedgedSlots] = uint32(high >> 32)
	return uint16(high%hedgedSlots) + 1
}

// extend keeps a flow from being forgotten.
func (s *hedgedFlows) extend(now time.Time, x *hedgedFlow) {
	x.until = now.Add(hedgedTimeout)
	if x.ended {
		x.until = now.Add(endedTimeout)
	}
	if x.until.After(s.until) {
		s.until = x.until
	}
}

// pin returns the token of the upstream to which a packet with a token goes. The first
// packet of a flow decides. If this balancer sent no opening of the flow to the token's
// upstream, the packet belongs to another flow from the same port.
func (s *hedgedFlows) pin(now time.Time, k bvflow.Key, phase bvflow.Phase, t bvcatalog.Token) bvcatalog.Token {
	x := s.get(now, k)
	if x == nil || !slices.Contains(x.tokens[:], t) {
		return t
	}
	if x.pinned == 0 {
		x.pinned, x.openedAt = t, now
	}
	x.ended = x.ended || phase == bvflow.PhaseClosing || phase == bvflow.PhaseReset
	s.extend(now, x)
	return x.pinned
}

// isCopy reports whether the opening p must go to an upstream that already has one of the
// hedged flow, and returns the token of that upstream. An opening that is no copy ends the
// hedged flow. A caller repeats an opening for at most answerTimeout; after that, the same
// sequence number opens a new flow.
func (s *hedgedFlows) isCopy(now time.Time, k bvflow.Key, p Packet, answerTimeout time.Duration) (bvcatalog.Token, bool) {
	x := s.get(now, k)
	switch {
	case x == nil:
		return 0, false
	case x.sequence != p.Sequence || x.pinned != 0 && now.Sub(x.openedAt) >= answerTimeout:
		x.forget()
		return 0, false
	case x.pinned != 0: // Any other upstream would answer once more.
		return x.pinned, true
	}
	// While tokens is full, the copy goes to the last upstream again: packets with the
	// token of an unrecorded one would not be pinned.
	last := x.tokens[maxHedgedTokens-1]
	return last, last != 0
}

// forget ends the flow. The load of the second upstream may still include its opening.
func (x *hedgedFlow) forget() {
	x.tokens, x.pinned, x.until = [maxHedgedTokens]bvcatalog.Token{}, 0, time.Time{}
}

// recordOpening records that an opening of a flow is sent to the upstream of a token. A
// repeated opening of a hedged flow adds one, and any other opening starts a new flow.
func (s *hedgedFlows) recordOpening(now time.Time, k bvflow.Key, p Packet, t bvcatalog.Token) {
	x := s.get(now, k)
	if x == nil {
		return
	}
	if x.pinned != 0 || x.sequence != p.Sequence {
		*x = hedgedFlow{}
		return
	}
	if i := slices.Index(x.tokens[:], 0); i >= 0 && !slices.Contains(x.tokens[:], t) {
		x.tokens[i] = t
	}
	s.extend(now, x)
}

// pinned returns the token of the upstream to which a packet with a token goes: its own,
// unless the flow was hedged.
func (r *Router) pinned(now time.Time, k bvflow.Key, phase bvflow.Phase, t bvcatalog.Token) bvcatalog.Token {
	if r.hedging == nil {
		return t
	}
	return r.hedging.flows.pin(now, k, phase, t)
}
