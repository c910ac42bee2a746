package bvlimit

import "balsamvane/core/bvconfig"

const (
	// tableHigh is the fill of the flow table above which the lowest class is
	// shed. Each further tableStep sheds the next class.
	tableHigh = 0.90
	tableStep = 0.04
	// queueTicksPerClass is the number of calls of SetPressure with a full
	// packet queue after which the next class is shed: 1 s at one call every
	// 100 ms.
	queueTicksPerClass = 10
	classes            = int(bvconfig.ClassBulk) + 1
)

// SetPressure updates the fill of the flow table, from 0 to 1, and whether the
// packet queue is over its bound. It must be called at each tick.
func (l *Limiter) SetPressure(tableFill float64, queueOver bool) {
	l.tableLevel = 0
	for tableFill > tableHigh+tableStep*float64(l.tableLevel) && l.tableLevel < classes {
		l.tableLevel++
	}
	if queueOver {
		l.queueTicks = min(l.queueTicks+1, classes*queueTicksPerClass)
	} else {
		l.queueTicks = max(l.queueTicks-1, 0)
	}
}

// Shed reports whether openings of the class are dropped. Packets of
// established flows are never dropped to make room for openings.
func (l *Limiter) Shed(c bvconfig.Class) bool {
	queueLevel := (l.queueTicks + queueTicksPerClass - 1) / queueTicksPerClass
	return int(c) >= classes-max(l.tableLevel, queueLevel)
}
