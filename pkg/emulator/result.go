package emulator

import (
	"slices"
	"time"
)

// Result holds the figures of one simulation.
type Result struct {
	Classes []ClassResult `json:"classes"`
	// Loads counts all model loads, StoreLoads those from the weight store.
	Loads      int `json:"loads"`
	StoreLoads int `json:"store_loads"`
	// Worth is the total worth of the responses less the hold costs of refused requests,
	// as a fraction of the worth of all requests.
	Worth float64 `json:"worth"`
}

// ClassResult holds the figures of one class.
type ClassResult struct {
	Name      string `json:"name"`
	Requested int    `json:"asked"`
	OnTime    int    `json:"in_time"`
	Late      int    `json:"late"`
	Refused   int    `json:"refused"`
	// HoldCost is the sum of the costs of refused requests. The cost of each ranges from
	// 0, refused at once, to 1, held for most of the client's budget.
	HoldCost float64 `json:"held"`
	// Median and Tail are the 50th and 95th percentiles of the time to first token
	// in milliseconds.
	Median int64 `json:"median_ms"`
	Tail   int64 `json:"tail_ms"`

	waits []time.Duration
}

func (r *Result) statsOf(c *Class) *ClassResult {
	i := slices.IndexFunc(r.Classes, func(x ClassResult) bool { return x.Name == c.Name })
	return &r.Classes[i]
}

// finish computes the worth and the percentiles after the simulation.
func (r *Result) finish(s Scenario) {
	earned, total := 0.0, 0.0
	for i, c := range s.Classes {
		stats := &r.Classes[i]
		earned += float64(stats.OnTime)*c.Worth + float64(stats.Late)*c.LateWorth - stats.HoldCost*c.Worth
		total += float64(stats.Requested) * c.Worth
		slices.Sort(stats.waits)
		if n := len(stats.waits); n > 0 {
			stats.Median = stats.waits[n/2].Milliseconds()
			stats.Tail = stats.waits[n*95/100].Milliseconds()
		}
	}
	if total > 0 {
		r.Worth = earned / total
	}
}
