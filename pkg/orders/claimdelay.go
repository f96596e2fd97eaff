package orders

import "time"

const (
	// claimDelayPerRank is about how long it takes to append a claim and for the hosts that read
	// the store to learn of it. maxRankDelay bounds the delay of low ranks.
	claimDelayPerRank = 15 * time.Millisecond
	maxRankDelay      = 600 * time.Millisecond
	// leafClaimDelay is the minimum delay of a host that does not read the claims itself. It is
	// longer than a relay takes to claim and to tell its children. leafClaimDelayPerHost, times
	// the number of hosts, bounds its random part.
	leafClaimDelay        = time.Second
	leafClaimDelayPerHost = 5 * time.Millisecond
)

// ClaimDelay returns the delay before a claim of the host with a rank. Hosts that read the store
// claim in the order of their ranks, so that they know the first claim before they would append
// their own. The others learn of a claim later and claim only if none of these hosts does. jitter is
// a random number from 0 to 1.
func ClaimDelay(rank int, readsStore bool, hosts int, jitter float64) time.Duration {
	if readsStore {
		return min(time.Duration(rank)*claimDelayPerRank, maxRankDelay)
	}
	return leafClaimDelay + time.Duration(jitter*float64(hosts)*float64(leafClaimDelayPerHost))
}
