// Package readbudget decides what a host may read of the store at a time when all other hosts may read
// the same. It does no I/O.
package readbudget

import "time"

const (
	// DefaultBytesPerSecond is the read rate of a store that does not state it.
	DefaultBytesPerSecond = 80e6
	// callsPerSecond is the number of calls that a store for few hosts answers in a second.
	callsPerSecond = 2000
	// readShare is the share of the store's read rate that reads of one kind may take.
	readShare = 2.0 / 3
	// startCalls is the number of calls of a host that reads configuration, list and hosts.
	startCalls = 4
	// listingOverhead is by how much a listing is larger than its entries.
	listingOverhead = 1.4
	// HostEntryBytes is the size of the entry of a host, in bytes.
	HostEntryBytes = 230
	// maxListBytes bounds the size of a list of endpoints that starting hosts read themselves, which
	// is one page.
	maxListBytes = 150e3
	// maxPageHosts is the number of hosts in a page.
	maxPageHosts = 500
	// maxReadBytes is the size of the largest response to a read.
	maxReadBytes = 1 << 20
	// minPause is the least bound on the pause after rejected reads.
	minPause = 700 * time.Millisecond
)

// Budget is what the store answers to all hosts together.
type Budget struct {
	// BytesPerSecond is the read rate of the store, or 0 if it is not configured.
	BytesPerSecond float64
}

func (b Budget) bytesPerSecond() float64 {
	if b.BytesPerSecond > 0 {
		return b.BytesPerSecond
	}
	return DefaultBytesPerSecond
}

// StartFits reports whether the store can answer a number of hosts that all read configuration, list and
// hosts themselves within a second.
func (b Budget) StartFits(hosts, configBytes int) bool {
	return b.Fits(hosts, listingOverhead*(float64(configBytes)+maxListBytes+float64(hosts)*HostEntryBytes)) && hosts*startCalls <= callsPerSecond
}

// Fits reports whether the store can answer a number of hosts that each read some bytes within a second.
func (b Budget) Fits(hosts int, bytes float64) bool {
	return float64(hosts)*bytes <= b.bytesPerSecond()
}

// Window returns the time over which a number of hosts must spread reads of some bytes each, so that these
// take readShare of the store's rate.
func (b Budget) Window(hosts int, bytes float64) time.Duration {
	return time.Duration(float64(hosts) * bytes / (readShare * b.bytesPerSecond()) * float64(time.Second))
}

// HostsWindow returns the time over which a number of hosts must spread reads of a page of their entries.
func (b Budget) HostsWindow(hosts int) time.Duration {
	return b.Window(hosts, listingOverhead*HostEntryBytes*float64(min(hosts, maxPageHosts)))
}

// MaxPause returns the bound on the pause after rejected reads at which a number of hosts that go on
// reading ask for no more than the store can answer.
func (b Budget) MaxPause(hosts int) time.Duration {
	return max(minPause, b.Window(hosts, maxReadBytes))
}
