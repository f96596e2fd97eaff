package completion

// MaxDeferredBytes bounds a deferred request and its answer, which are records.
const MaxDeferredBytes = 128 << 10

// DeferredBody is the recorded form of a request that is answered later.
type DeferredBody struct {
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens,omitempty"`
	Temperature float64 `json:"temperature,omitempty"`
}

// DeferredAnswer is the recorded form of its answer.
type DeferredAnswer struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Reason string `json:"reason"`
	Error  string `json:"error,omitempty"`
}
