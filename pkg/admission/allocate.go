package admission

import (
	"cmp"
	"slices"
)

// reservedShare is the share of each flow that is admitted whatever its priority, so that its
// demand stays measured and a low priority is not starved.
const reservedShare = 0.05

// Flow is the demand of one route priority and client account.
type Flow struct {
	// Priority is the priority of the route, where 0 is the most urgent.
	Priority int
	Account  string
	// Rate is the number of requests per second.
	Rate float64
	// Weight is the weight of the account; 0 counts as 1.
	Weight float64
}

func (f Flow) weight() float64 {
	if f.Weight <= 0 {
		return 1
	}
	return f.Weight
}

// Allocate divides a capacity in requests per second between flows and returns the admitted share of
// each, in the order of flows. More urgent priorities take precedence; flows of one priority share
// by weighted max-min fairness. Each flow keeps reservedShare of its rate as long as the capacity
// suffices. A flow never gets a smaller share than one of a less urgent priority.
func Allocate(capacity float64, flows []Flow) []float64 {
	total := 0.0
	for _, f := range flows {
		total += max(0, f.Rate)
	}
	shares := make([]float64, len(flows))
	if total <= capacity || total == 0 {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	capacity = max(0, capacity)
	reserved := min(reservedShare, capacity/total)
	left := capacity - reserved*total
	for _, group := range byPriority(flows) {
		demand := 0.0
		for _, i := range group {
			demand += max(0, flows[i].Rate)
		}
		if extra := (1 - reserved) * demand; extra <= left {
			left -= extra
			for _, i := range group {
				shares[i] = 1
			}
			continue
		}
		divide(left+reserved*demand, reserved, flows, group, shares)
		left = 0
	}
	return shares
}

// byPriority returns the indexes of the flows of each priority, the most urgent first.
func byPriority(flows []Flow) [][]int {
	order := make([]int, len(flows))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(flows[a].Priority, flows[b].Priority) })
	var groups [][]int
	for _, i := range order {
		if n := len(groups); n > 0 && flows[groups[n-1][0]].Priority == flows[i].Priority {
			groups[n-1] = append(groups[n-1], i)
			continue
		}
		groups = append(groups, []int{i})
	}
	return groups
}

// divide sets the shares of the flows in group, whose demand exceeds the capacity, by weighted
// max-min fairness: all flows get the same rate per weight, but none more than it requests or less
// than the reserved share of it.
func divide(capacity, reserved float64, flows []Flow, group []int, shares []float64) {
	admitted := func(i int, level float64) float64 {
		f := flows[i]
		return min(max(f.Rate, 0), max(reserved*f.Rate, level*f.weight()))
	}
	sum := func(level float64) float64 {
		n := 0.0
		for _, i := range group {
			n += admitted(i, level)
		}
		return n
	}
	low, high := 0.0, 0.0
	for _, i := range group {
		high = max(high, flows[i].Rate/flows[i].weight())
	}
	// 50 halvings leave an error far below one request per second.
	for range 50 {
		if middle := (low + high) / 2; sum(middle) <= capacity {
			low = middle
		} else {
			high = middle
		}
	}
	for _, i := range group {
		if flows[i].Rate <= 0 {
			shares[i] = 1
			continue
		}
		shares[i] = admitted(i, low) / flows[i].Rate
	}
}
