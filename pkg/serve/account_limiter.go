package serve

import (
	"context"
	"time"
)

// AccountLimiter enforces the rate limits of client accounts. Implementations are safe for
// concurrent use and do not block.
type AccountLimiter interface {
	// Allow charges a request to its account. It reports whether the request may run and, if
	// not, after which time the client may retry.
	Allow(r *Request) (ok bool, after time.Duration)
	// Refund returns the charge of a request that was allowed but did not run.
	Refund(r *Request)
}

// chargeAccount charges the request to its account and reports whether it may run. A request
// over the limit is refused at once.
func (x *exchange) chargeAccount(ctx context.Context) bool {
	if x.server.AccountLimiter == nil || x.request.Account == "" {
		return true
	}
	ok, after := x.server.AccountLimiter.Allow(x.request)
	if !ok {
		x.finish(ctx, Refusal{Cause: CauseAllowance, NotRun: true, RetryAfter: after})
	}
	return ok
}

// refund returns the charge of a request that certainly has not run. A retry by the client is
// charged again.
func (x *exchange) refund() {
	if x.server.AccountLimiter != nil && x.request.Account != "" && x.result.Runs == 0 {
		x.server.AccountLimiter.Refund(x.request)
	}
}
