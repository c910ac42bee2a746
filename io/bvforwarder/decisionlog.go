package bvforwarder

import (
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvtoken"
	"balsamvane/io/bvlog"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// The budgets of lines about decisions, in lines a second for each reason.
const (
	placedLines  = 25 // Openings that are forwarded, which are the usual case.
	refusedLines = 25
	droppedLines = 5
)

// leftOutInterval is the time between two lines about lines left out.
const leftOutInterval = 10 * time.Second

// decisionLog writes a line for each decision that touches a request: the
// flow, what decided, its age and version, and the outcome. Packets of open
// flows that are forwarded have none.
type decisionLog struct {
	log        *zap.Logger
	budgets    [3][]*bvlog.Budget // By verdict and reason.
	leftOut    tally.Counter
	reportedAt time.Time
}

func newDecisionLog(log *zap.Logger, clock clockwork.Clock, s tally.Scope) *decisionLog {
	l := &decisionLog{log: log, leftOut: s.Counter("logLinesLeftOut"), reportedAt: clock.Now()}
	for v, lines := range map[bvtoken.Verdict]int{
		bvtoken.VerdictForward: placedLines, bvtoken.VerdictReset: refusedLines, bvtoken.VerdictDrop: droppedLines,
	} {
		for range bvtoken.Reasons() {
			l.budgets[v] = append(l.budgets[v], bvlog.NewBudget(clock, lines))
		}
	}
	return l
}

// state is what the decisions of a batch were made from.
type state struct {
	age      time.Duration
	revision int64
	version  uint64
}

// decided writes the line of a decision.
func (l *decisionLog) decided(it *item, s state) {
	d, p := it.decision, &it.packet
	opening := p.Phase == bvflow.PhaseOpening
	if d.Verdict == bvtoken.VerdictForward && !opening || !l.budgets[d.Verdict][d.Reason].Allow() {
		return
	}
	address := zap.Skip()
	if d.Address.IsValid() {
		address = zap.Stringer("address", d.Address)
	}
	l.log.Info("decision",
		zap.Stringer("source", p.Source), zap.Stringer("destination", p.Destination),
		zap.Bool("opening", opening), zap.Uint32("copy", p.Retransmissions), zap.Uint32("callerToken", uint32(p.Token)),
		zap.Stringer("verdict", d.Verdict), zap.Stringer("reason", d.Reason),
		zap.Uint32("token", uint32(d.Token)), zap.Uint64("upstream", uint64(d.Upstream)), address,
		zap.Duration("catalogAge", s.age), zap.Int64("revision", s.revision), zap.Uint64("version", s.version))
}

// reportLeftOut writes the numbers of lines left out, once in an interval.
func (l *decisionLog) reportLeftOut(now time.Time) {
	if now.Sub(l.reportedAt) < leftOutInterval {
		return
	}
	l.reportedAt = now
	for v := range l.budgets {
		for r, b := range l.budgets[v] {
			if n := b.TakeSuppressed(); n > 0 {
				l.leftOut.Inc(n)
				l.log.Info("lines left out", zap.Stringer("verdict", bvtoken.Verdict(v)),
					zap.Stringer("reason", bvtoken.Reason(r)), zap.Int64("lines", n))
			}
		}
	}
}
