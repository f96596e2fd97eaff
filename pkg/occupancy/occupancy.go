// Package occupancy keeps the view of all hosts' requests at the endpoints and decides from it how
// many requests a host may have at an endpoint.
//
// A host learns the load of an endpoint from the endpoint's responses only when it sends a request
// there, which with many hosts is less often than the load changes. Therefore hosts report their own
// requests with their demand (Local), relays and the controller sum the reports (Sums), and the
// controller publishes the sums with its notices (Publisher). All state is in memory: without a
// recent view, a host uses its own.
//
// Messages name endpoints by hashes of their IDs. Where two endpoints of a host's list have the same
// hash, the sums of both are one, and the host uses its own view for both.
package occupancy

import "time"

const (
	// viewTTL is how long a view is used. It covers the change of a controller or a relay.
	viewTTL = 2 * time.Second
	// reporterTTL is how long the numbers in a host's last report count, which is several report
	// intervals.
	reporterTTL = 800 * time.Millisecond
	// seqTTL is how long the sequence number of that report is kept to reject duplicates. It
	// exceeds the time in which a duplicate may arrive.
	seqTTL = 10 * time.Second
	// UsualPercent is the run time in percent of an endpoint that is as fast as the mean.
	UsualPercent = 100
)

// tally sums completed requests.
type tally struct {
	completed float64
	// runMillis is the sum of their run times, expectedMillis that of the mean run times of their
	// models.
	runMillis, expectedMillis float64
}

func (t tally) plus(o tally) tally {
	return tally{t.completed + o.completed, t.runMillis + o.runMillis, t.expectedMillis + o.expectedMillis}
}
