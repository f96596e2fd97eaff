package fleet

import (
	"cmp"
	"slices"
)

// FullShare is the share of a level at which all requests are admitted.
const FullShare = 1000

// Flow is the number of requests of one route priority and client account for a model.
type Flow struct {
	Priority int    `cbor:"1,keyasint,omitempty"`
	Account  string `cbor:"2,keyasint,omitempty"`
	Arrived  int    `cbor:"3,keyasint"`
}

// AddFlows returns the sums of two lists of flows by priority and account, sorted by both.
func AddFlows(a, b []Flow) []Flow {
	if len(b) == 0 {
		return a
	}
	type key struct {
		priority int
		account  string
	}
	sums := make(map[key]int, len(a)+len(b))
	for _, list := range [][]Flow{a, b} {
		for _, f := range list {
			sums[key{f.Priority, f.Account}] += f.Arrived
		}
	}
	out := make([]Flow, 0, len(sums))
	for k, n := range sums {
		out = append(out, Flow{Priority: k.priority, Account: k.account, Arrived: n})
	}
	slices.SortFunc(out, func(x, y Flow) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Account, y.Account))
	})
	return out
}

// Levels lists the models whose replicas cannot take the demand. Each host admits a share of the
// requests for them; requests for all other models are not limited.
type Levels struct {
	// Token is the fencing token of the controller's claim, and Seq numbers the lists decided
	// under that claim.
	Token int64 `cbor:"1,keyasint"`
	Seq   int64 `cbor:"2,keyasint"`
	// Models is the complete list.
	Models []ModelLevel `cbor:"3,keyasint,omitempty"`
}

// NewerThan reports whether l was decided after o.
func (l Levels) NewerThan(o Levels) bool {
	return l.Token > o.Token || l.Token == o.Token && l.Seq > o.Seq
}

// ModelLevel limits the requests for one model of a service.
type ModelLevel struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	// Shares lists the admitted shares by route priority, most urgent first. A more urgent priority
	// never has a smaller share.
	Shares []PriorityShare `cbor:"3,keyasint,omitempty"`
	// Accounts lists the accounts whose share is below that of their priority.
	Accounts []AccountShare `cbor:"4,keyasint,omitempty"`
	// Wait is the expected wait of a request in milliseconds.
	Wait int64 `cbor:"5,keyasint,omitempty"`
}

// PriorityShare is the admitted share of the requests of a route priority, in units of
// 1/FullShare.
type PriorityShare struct {
	Priority int `cbor:"1,keyasint,omitempty"`
	Share    int `cbor:"2,keyasint"`
}

// AccountShare is the admitted share of the requests of an account and a route priority, in units
// of 1/FullShare.
type AccountShare struct {
	Priority int    `cbor:"1,keyasint,omitempty"`
	Account  string `cbor:"2,keyasint"`
	Share    int    `cbor:"3,keyasint"`
}

// Share returns the admitted share of the requests of a route priority and account. A priority that
// is not listed gets the least share among the more urgent ones.
func (l ModelLevel) Share(priority int, account string) int {
	least := FullShare
	for _, s := range l.Shares {
		if s.Priority <= priority {
			least = min(least, s.Share)
		}
	}
	for _, a := range l.Accounts {
		if a.Priority == priority && a.Account == account || a.Priority < priority {
			least = min(least, a.Share)
		}
	}
	return least
}

// LeastAbove returns the least admitted share among the priorities that are more urgent than the given one.
func (l ModelLevel) LeastAbove(priority int) int {
	least := FullShare
	for _, s := range l.Shares {
		if s.Priority < priority {
			least = min(least, s.Share)
		}
	}
	for _, a := range l.Accounts {
		if a.Priority < priority {
			least = min(least, a.Share)
		}
	}
	return least
}
