package completion

// MaxDeferredBytes limits the encoded size of a deferred request and of its
// response; each is stored as one record.
const MaxDeferredBytes = 128 << 10

// DeferredBody is the stored form of a deferred request.
type DeferredBody struct {
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens,omitempty"`
	Temperature float64 `json:"temperature,omitempty"`
}

// DeferredResult is the stored form of the response to a deferred request.
type DeferredResult struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
	Error  string `json:"error,omitempty"`
}
