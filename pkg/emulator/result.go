package emulator

import (
	"slices"
	"time"
)

// Result is what clients saw in a play.
type Result struct {
	Classes []ClassResult `json:"classes"`
	// Loads counts all loads of models, StoreLoads those from the weight store.
	Loads      int `json:"loads"`
	StoreLoads int `json:"store_loads"`
	// Worth is what was earned of what was asked for, from 0 to 1.
	Worth float64 `json:"worth"`
}

// ClassResult is what the clients of one class saw.
type ClassResult struct {
	Name    string `json:"name"`
	Asked   int    `json:"asked"`
	InTime  int    `json:"in_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	// Held is the sum of what refused requests cost: each from 0, refused at once,
	// to 1, held for three quarters of its client's time.
	Held float64 `json:"held"`
	// Median and Tail are the 50th and 95th percentile of the time to the first
	// token, in milliseconds.
	Median int64 `json:"median_ms"`
	Tail   int64 `json:"tail_ms"`

	waits []time.Duration
}

func (r *Result) of(c *Class) *ClassResult {
	i := slices.IndexFunc(r.Classes, func(x ClassResult) bool { return x.Name == c.Name })
	return &r.Classes[i]
}

// finish works out the figures that need the whole play.
func (r *Result) finish(s Scenario) {
	earned, asked := 0.0, 0.0
	for i, c := range s.Classes {
		x := &r.Classes[i]
		earned += float64(x.InTime)*c.Worth + float64(x.Late)*c.LateWorth - x.Held*c.Worth
		asked += float64(x.Asked) * c.Worth
		slices.Sort(x.waits)
		if n := len(x.waits); n > 0 {
			x.Median = x.waits[n/2].Milliseconds()
			x.Tail = x.waits[n*95/100].Milliseconds()
		}
	}
	if asked > 0 {
		r.Worth = earned / asked
	}
}
