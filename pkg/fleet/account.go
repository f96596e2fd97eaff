package fleet

import (
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/finding"
)

// Account is a client account in the operator's configuration.
type Account struct {
	Name string
	// Keys are the API keys of the account. They are never forwarded or logged, and are sent
	// to other hosts only as part of the configuration.
	Keys []string
	// Priority overrides the priority of the route; nil keeps the route's priority.
	Priority  *int
	Allowance Allowance
	// Weight is the account's share relative to other accounts under contention; 0 means 1. It is
	// not part of the configuration.
	Weight float64
}

// Unit is the unit in which an allowance is counted.
type Unit int

// The units of an allowance.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the prompt and completion tokens that a request states.
	Tokens
)

// Allowance is the rate limit of an account over all hosts together. The zero value means no
// limit.
type Allowance struct {
	Unit Unit
	// Rate is the refill rate per second, and Burst is the capacity of the token bucket.
	Rate  float64
	Burst float64
	// DefaultCost is the cost of a request that does not state its tokens.
	DefaultCost float64
}

// Limited reports whether the allowance sets a limit.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost returns the cost of a request that states the given number of tokens. A negative number
// means that the request states none.
func (a Allowance) Cost(tokens float64) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case tokens < 0:
		return a.DefaultCost
	}
	return tokens
}

// Accounts holds the client accounts of a configuration. A nil *Accounts means that no key is
// required.
type Accounts struct {
	byName map[string]Account
	byKey  map[string]string
}

// NewAccounts indexes the accounts by name and key. Its error lists all invalid accounts by
// their position, without their keys.
func NewAccounts(accounts []Account) (*Accounts, error) {
	a := &Accounts{byName: map[string]Account{}, byKey: map[string]string{}}
	var found finding.List
	for i, account := range accounts {
		field := fmt.Sprintf("account %d (%s)", i, account.Name)
		report := func(message string) { found = append(found, finding.Finding{Field: field, Message: message}) }
		if account.Name == "" {
			report("has no name")
		}
		if _, duplicate := a.byName[account.Name]; duplicate {
			report("duplicate account name")
		}
		if !validAllowance(account.Allowance) {
			report("has an allowance that is negative or not finite")
		}
		for n, key := range account.Keys {
			owner, used := a.byKey[key]
			switch {
			case key == "":
				report(fmt.Sprintf("key %d is empty", n))
			case used && owner != account.Name:
				report(fmt.Sprintf("key %d is already used by account %s", n, owner))
			}
			a.byKey[key] = account.Name
		}
		a.byName[account.Name] = account
	}
	return a, errors.Wrap(found.Err(), "accounts")
}

// validAllowance reports whether the values of an allowance are finite and not negative.
func validAllowance(a Allowance) bool {
	for _, v := range []float64{a.Rate, a.Burst, a.DefaultCost} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// ByKey returns the account that owns a key.
func (a *Accounts) ByKey(key string) (Account, bool) {
	name, ok := a.byKey[key]
	return a.byName[name], ok
}

// All returns all accounts by name. The caller must not modify the map.
func (a *Accounts) All() map[string]Account {
	if a == nil {
		return nil
	}
	return a.byName
}
