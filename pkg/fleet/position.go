package fleet

import (
	"fmt"
	"log/slog"
)

// Position is the place of a record in a topic of the store: the era of the store and the offset of
// the record in that era. The store may be restored from an older copy and then gives offsets out
// again; each restore starts a new era. A position of a newer era is greater than all positions of
// older eras. Positions of one era differ by the difference of their offsets.
type Position int64

const (
	// offsetBits is the number of bits of the offset. Together with the eras below maxEra, a
	// position and the fencing tokens made from it are exact as a floating point number, which is
	// how some JSON decoders read them.
	offsetBits = 40
	maxEra     = 1<<13 - 1
	// NoPosition is less than every valid position.
	NoPosition Position = -1
)

// NewPosition returns the position of an offset in an era. Eras above maxEra count as maxEra.
func NewPosition(era, offset int64) Position {
	return Position(min(max(era, 0), maxEra)<<offsetBits | offset)
}

// Era returns the era, or -1 for NoPosition.
func (p Position) Era() int64 { return int64(p >> offsetBits) }

// Offset returns the offset within the era.
func (p Position) Offset() int64 { return int64(p & (1<<offsetBits - 1)) }

// Previous returns the position before p, or p if it is the first one of its era.
func (p Position) Previous() Position { return max(p-1, NewPosition(p.Era(), 0)) }

// String implements fmt.Stringer.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Offset()) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }

// MayPrecede reports whether the record at p, of a newer era than known, may have been written
// before the record at known: records that the older copy contains keep their offsets.
func (p Position) MayPrecede(known Position) bool {
	return p.Era() > known.Era() && p.Offset() <= known.Offset()
}
