package emulator

import (
	"sync"
)

// Variant is a named policy with an optional change of the scenario.
type Variant struct {
	Name   string
	Policy Policy
	// Change modifies the scenario; it may be nil.
	Change func(*Scenario)
}

// Outcome is the result of a variant over all seeds.
type Outcome struct {
	Name string `json:"name"`
	// Mean holds the means over all seeds, Worths the worth for each seed.
	Mean   Mean      `json:"mean"`
	Worths []float64 `json:"worths"`
}

// Mean holds the figures of Result as means over seeds.
type Mean struct {
	Worth      float64     `json:"worth"`
	Loads      float64     `json:"loads"`
	StoreLoads float64     `json:"store_loads"`
	Classes    []ClassMean `json:"classes"`
}

// ClassMean holds the figures of ClassResult as means over seeds.
type ClassMean struct {
	Name      string  `json:"name"`
	Requested float64 `json:"asked"`
	OnTime    float64 `json:"in_time"`
	Late      float64 `json:"late"`
	Refused   float64 `json:"refused"`
	MedianMS  float64 `json:"median_ms"`
	TailMS    float64 `json:"tail_ms"`
}

// Compare simulates a scenario with each variant on the same seeds, starting at 1.
func Compare(s Scenario, variants []Variant, seeds int) []Outcome {
	out := make([]Outcome, len(variants))
	var runs sync.WaitGroup
	for i, v := range variants {
		results := make([]Result, seeds)
		for seed := range seeds {
			runs.Go(func() {
				scenario := s
				if v.Change != nil {
					v.Change(&scenario)
				}
				results[seed] = Simulate(scenario, v.Policy, uint64(seed+1))
			})
		}
		runs.Wait()
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
			stats := &m.Classes[i]
			stats.Requested += float64(c.Requested) / n
			stats.OnTime += float64(c.OnTime) / n
			stats.Late += float64(c.Late) / n
			stats.Refused += float64(c.Refused) / n
			stats.MedianMS += float64(c.Median) / n
			stats.TailMS += float64(c.Tail) / n
		}
	}
	return m
}
