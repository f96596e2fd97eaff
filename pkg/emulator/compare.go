package emulator

import (
	"sync"
)

// Variant is a policy under a name, and what it changes in a scenario.
type Variant struct {
	Name   string
	Policy Policy
	// Change adapts the scenario, nil for none.
	Change func(*Scenario)
}

// Outcome is what a variant came to, over all seeds.
type Outcome struct {
	Name string `json:"name"`
	// Mean holds means of all figures, Worths the worth of each seed.
	Mean   Mean      `json:"mean"`
	Worths []float64 `json:"worths"`
}

// Mean holds figures as means over seeds.
type Mean struct {
	Worth      float64     `json:"worth"`
	Loads      float64     `json:"loads"`
	StoreLoads float64     `json:"store_loads"`
	Classes    []ClassMean `json:"classes"`
}

// ClassMean holds the figures of a class as means over seeds.
type ClassMean struct {
	Name     string  `json:"name"`
	Asked    float64 `json:"asked"`
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	MedianMS float64 `json:"median_ms"`
	TailMS   float64 `json:"tail_ms"`
}

// Compare plays a scenario with each variant on the same seeds, from 1 on.
func Compare(s Scenario, variants []Variant, seeds int) []Outcome {
	out := make([]Outcome, len(variants))
	var plays sync.WaitGroup
	for i, v := range variants {
		results := make([]Result, seeds)
		for seed := range seeds {
			plays.Go(func() {
				own := s
				if v.Change != nil {
					v.Change(&own)
				}
				results[seed] = Play(own, v.Policy, uint64(seed+1))
			})
		}
		plays.Wait()
		out[i] = Outcome{Name: v.Name, Mean: mean(results)}
		for _, r := range results {
			out[i].Worths = append(out[i].Worths, r.Worth)
		}
	}
	return out
}

func mean(results []Result) Mean {
	n := float64(len(results))
	var m Mean
	for _, r := range results {
		m.Worth += r.Worth / n
		m.Loads += float64(r.Loads) / n
		m.StoreLoads += float64(r.StoreLoads) / n
		for i, c := range r.Classes {
			if i == len(m.Classes) {
				m.Classes = append(m.Classes, ClassMean{Name: c.Name})
			}
			x := &m.Classes[i]
			x.Asked += float64(c.Asked) / n
			x.InTime += float64(c.InTime) / n
			x.Late += float64(c.Late) / n
			x.Refused += float64(c.Refused) / n
			x.MedianMS += float64(c.Median) / n
			x.TailMS += float64(c.Tail) / n
		}
	}
	return m
}
