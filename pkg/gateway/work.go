package gateway

import "github.com/tealvane/tealvane/pkg/serve"

const (
	// readRate is the number of prompt tokens that an endpoint is assumed to read in the time in
	// which it produces one output token of a request. Prompt tokens are read in parallel.
	readRate = 16
	// workUnit is the work, in output tokens, that counts as 1. It is assumed for requests that do
	// not state their tokens, so that these share slots with others on about equal terms.
	workUnit = 256
	// minWork is the least work of a request. Each request takes a slot, however few tokens it states.
	minWork = 0.125
)

// estimateWork returns the estimated work of a request, by which its account is charged under
// contention, or 1 if its tokens are not known. The output tokens are the most that it may produce.
func estimateWork(r *serve.Request) float64 {
	if r.PromptTokens <= 0 && r.OutputTokens <= 0 {
		return 1
	}
	tokens := float64(r.PromptTokens)/readRate + float64(r.OutputTokens)
	return max(minWork, tokens/workUnit)
}
