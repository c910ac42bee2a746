// Package bvrevision orders the states of a store that numbers its changes and may be
// restored from a copy.
//
// A restored store has lost its last changes, and gives their numbers to others. So
// a number alone does not tell which of two states is later, or whether they are
// the same.
//
// # Usage
//
//	seen := bvrevision.Revision{Era: answer.Era, Number: answer.Revision}
//	if seen.Era != after.Era {
//		return list() // The history does not continue after that revision.
//	}
package bvrevision

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of a store. A store that was restored from a copy begins
// a new era, in which it gives out numbers of the lost history again. So numbers
// compare only within an era, and each state of an era is later than all states of
// earlier ones.
type Revision struct {
	// Era counts how often the store was restored. It is 0 for a store that does
	// not report it.
	Era    uint64
	Number int64
}

// Compare returns -1 if r is before o, 0 if they are equal, and 1 if r is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// After reports whether r is after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Latest returns the later one of two revisions.
func Latest(r, o Revision) Revision {
	if o.After(r) {
		return o
	}
	return r
}

// String returns the era and the number, such as "2/23".
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }
