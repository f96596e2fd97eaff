package occupancy

import (
	"cmp"
	"slices"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Sizes of encoded parts in bytes.
const (
	// headerBytes bounds the fields of a view or a report beside its lists.
	headerBytes = 40
	// hashBytes is the size of a hash in an array of a known number of elements.
	hashBytes = 6
	// maxLoadBytes bounds an endpoint in a report.
	maxLoadBytes = 28
)

// Size returns about the size of an encoded view in bytes.
func Size(o fleet.Occupancy) int {
	n := headerBytes
	for _, e := range o.Endpoints {
		n += entryBytes(e)
	}
	for _, w := range o.Waiting {
		n += hashBytes + numberBytes(w.Requests)
	}
	return n
}

func entryBytes(e fleet.EndpointOccupancy) int {
	return hashBytes + numberBytes(e.InFlight) + numberBytes(e.RunTimePercent)
}

// numberBytes returns the size of a number that is not negative, up to 16 bits.
func numberBytes(n int) int {
	const inInitialByte, inOneByte = 23, 255
	switch {
	case n <= inInitialByte:
		return 1
	case n <= inOneByte:
		return 2
	default:
		return 3
	}
}

// Fit limits a view to a number of bytes. It keeps the endpoints with the most requests.
func Fit(o fleet.Occupancy, bytes int) fleet.Occupancy {
	left := bytes - Size(o)
	if left >= 0 {
		return o
	}
	sorted := slices.Clone(o.Endpoints)
	slices.SortFunc(sorted, func(a, b fleet.EndpointOccupancy) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	n := len(sorted)
	for ; n > 0 && left < 0; n-- {
		left += entryBytes(sorted[n-1])
	}
	o.Endpoints, o.Truncated = sorted[:n], true
	return o
}

// FitReport limits a report to a number of bytes, and keeps the endpoints with the most requests.
func FitReport(l *fleet.EndpointLoads, bytes int) *fleet.EndpointLoads {
	n := max(0, bytes-headerBytes) / maxLoadBytes
	if l == nil || len(l.Loads) <= n {
		return l
	}
	sorted := slices.Clone(l.Loads)
	slices.SortFunc(sorted, func(a, b fleet.EndpointLoad) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return &fleet.EndpointLoads{Loads: sorted[:n], AgeMillis: l.AgeMillis}
}
