package serve

import "time"

const (
	// readTimeWeight is the weight of one request in the moving averages of readTime.
	readTimeWeight = 0.02
	// minReadTimeRequests is the number of requests after which the averages are used.
	minReadTimeRequests = 50
)

// readTime learns how long endpoints take to read one prompt token: the slope of the linear
// regression of the time to the first byte on the number of tokens. The intercept is the time spent
// in queues.
type readTime struct {
	requests int
	// Moving averages of the tokens, of the seconds, and of their products.
	tokens, seconds, tokensSquared, tokensSeconds float64
}

// add adds a request without a prompt prefix that an endpoint may have cached.
func (r *readTime) add(tokens int, firstByte time.Duration) {
	weight := max(readTimeWeight, 1/float64(r.requests+1))
	r.requests++
	x, y := float64(tokens), firstByte.Seconds()
	r.tokens += (x - r.tokens) * weight
	r.seconds += (y - r.seconds) * weight
	r.tokensSquared += (x*x - r.tokensSquared) * weight
	r.tokensSeconds += (x*y - r.tokensSeconds) * weight
}

// of returns the time to read a number of tokens, or 0 if it is not known.
func (r *readTime) of(tokens int) time.Duration {
	variance := r.tokensSquared - r.tokens*r.tokens
	covariance := r.tokensSeconds - r.tokens*r.seconds
	if r.requests < minReadTimeRequests || variance < 1 || covariance <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * covariance / variance * float64(time.Second))
}
