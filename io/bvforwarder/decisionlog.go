package bvforwarder

import (
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvrevision"
	"balsamvane/core/bvtoken"
	"balsamvane/io/bvlog"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// The budgets of lines about decisions, for each reason.
const (
	forwardLinesPerSecond = 25 // Forwarded openings, the usual case.
	resetLinesPerSecond   = 25
	dropLinesPerSecond    = 5
	waitLinesPerSecond    = 5 // Batches that waited long.
)

// suppressedInterval is the time between two reports of suppressed lines.
const suppressedInterval = 10 * time.Second

// decisionLog writes a line for each decision on an opening, reset or dropped
// packet: the flow, the state and age of the catalog, and the outcome. Forwarded
// packets of open flows are not logged.
type decisionLog struct {
	log        *zap.Logger
	budgets    [3][]*bvlog.Budget // By verdict and reason.
	waits      *bvlog.Budget      // Of lines about batches that waited long.
	suppressed tally.Counter
	reportedAt time.Time
}

func newDecisionLog(log *zap.Logger, clock clockwork.Clock, s tally.Scope) *decisionLog {
	l := &decisionLog{log: log, waits: bvlog.NewBudget(clock, waitLinesPerSecond), suppressed: s.Counter("logLinesLeftOut"), reportedAt: clock.Now()}
	for v, lines := range map[bvtoken.Verdict]int{
		bvtoken.VerdictForward: forwardLinesPerSecond, bvtoken.VerdictReset: resetLinesPerSecond, bvtoken.VerdictDrop: dropLinesPerSecond,
	} {
		for range bvtoken.Reasons() {
			l.budgets[v] = append(l.budgets[v], bvlog.NewBudget(clock, lines))
		}
	}
	return l
}

// catalogState describes the catalog that a batch was routed with.
type catalogState struct {
	age time.Duration
	// watermarkAge is the time since the watermark of the catalog.
	watermarkAge time.Duration
	revision     bvrevision.Revision
	version      uint64
}

// logHedge logs a hedge in the form of a decision on its opening, within the budget of
// hedges.
func (l *decisionLog) logHedge(h *bvtoken.Hedge, s catalogState) {
	it := item{decision: h.Decision}
	it.packet.Tuple, it.packet.Phase = h.Tuple, bvflow.PhaseOpening
	l.logDecision(&it, s, zap.Uint64("firstUpstream", uint64(h.First)), zap.Duration("waited", h.Waited))
}

// logDecision logs a decision, with further fields, within the budget of its verdict and
// reason.
func (l *decisionLog) logDecision(it *item, s catalogState, more ...zap.Field) {
	d, p := it.decision, &it.packet
	opening := p.Phase == bvflow.PhaseOpening
	if d.Verdict == bvtoken.VerdictForward && !opening || !l.budgets[d.Verdict][d.Reason].Allow() {
		return
	}
	address, evidence := zap.Skip(), zap.Skip()
	if d.Evidence.Unacked > 0 {
		evidence = zap.Inline(evidenceFields(d.Evidence))
	}
	if d.Address.IsValid() {
		address = zap.Stringer("address", d.Address)
	}
	if d.Reason == bvtoken.ReasonNoCapacity {
		more = append(more, zap.String("service", d.Refusal.Service), zap.Uint8("priority", d.Refusal.Priority), zap.Stringer("admission", d.Refusal.Verdict))
	}
	l.log.With(more...).Info("decision",
		zap.Stringer("source", p.Source), zap.Stringer("destination", p.Destination),
		zap.Bool("opening", opening), zap.Uint32("copy", p.Retransmissions), zap.Uint32("callerToken", uint32(p.Token)),
		zap.Stringer("verdict", d.Verdict), zap.Stringer("reason", d.Reason),
		zap.Uint32("token", uint32(d.Token)), zap.Uint64("upstream", uint64(d.Upstream)), address, evidence,
		zap.Duration("catalogAge", s.age), zap.Duration("watermarkAge", s.watermarkAge), zap.Int64("revision", s.revision.Number), zap.Uint64("era", s.revision.Era), zap.Uint64("version", s.version))
}

// evidenceFields are the fields of a decision that rests on unacknowledged packets.
type evidenceFields bvtoken.Evidence

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e evidenceFields) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt("unacked", e.Unacked)
	o.AddDuration("unackedFor", e.UnackedFor)
	o.AddInt("overtaken", e.Overtaken)
	o.AddInt("repeats", e.Repeats)
	o.AddDuration("answerTime", e.AnswerTime)
	o.AddDuration("readWait", e.ReadWait)
	return nil
}

// reportSuppressed logs the numbers of suppressed lines, once per interval.
func (l *decisionLog) reportSuppressed(now time.Time) {
	if now.Sub(l.reportedAt) < suppressedInterval {
		return
	}
	l.reportedAt = now
	for v := range l.budgets {
		for r, b := range l.budgets[v] {
			if n := b.TakeSuppressed(); n > 0 {
				l.suppressed.Inc(n)
				l.log.Info("lines left out", zap.Stringer("verdict", bvtoken.Verdict(v)),
					zap.Stringer("reason", bvtoken.Reason(r)), zap.Int64("lines", n))
			}
		}
	}
}
