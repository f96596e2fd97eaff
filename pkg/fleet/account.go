package fleet

import (
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/finding"
)

// Account is a client account of the operator's configuration.
type Account struct {
	Name string
	// Keys are the secrets by which callers show that they belong to the account. They are
	// not passed on, logged or told to other hosts except within the configuration.
	Keys []string
	// Priority goes before that of the route; nil leaves it to the route.
	Priority  *int
	Allowance Allowance
}

// Unit is what an allowance is counted in.
type Unit int

// The units.
const (
	// Requests count one each.
	Requests Unit = iota
	// Tokens are those that a request states, read and made.
	Tokens
)

// Allowance is how much an account may ask of all hosts together. The zero value is no limit.
type Allowance struct {
	Unit Unit
	// Rate is per second; what was not used of it is kept up to Burst.
	Rate  float64
	Burst float64
	// Unstated is what a request costs that states no tokens.
	Unstated float64
}

// Limited tells whether there is a limit.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost is what a request counts that states so many tokens, negative where it states none.
func (a Allowance) Cost(tokens float64) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case tokens < 0:
		return a.Unstated
	}
	return tokens
}

// Accounts are the client accounts of a configuration. nil are no accounts: then callers need
// no key.
type Accounts struct {
	byName map[string]Account
	byKey  map[string]string
}

// NewAccounts returns accounts, or an error that names all that is wrong with them, each with
// its place and none with its keys.
func NewAccounts(list []Account) (*Accounts, error) {
	a := &Accounts{byName: map[string]Account{}, byKey: map[string]string{}}
	var found finding.List
	for i, x := range list {
		field := fmt.Sprintf("account %d (%s)", i, x.Name)
		add := func(message string) { found = append(found, finding.Finding{Field: field, Message: message}) }
		if x.Name == "" {
			add("has no name")
		}
		if _, twice := a.byName[x.Name]; twice {
			add("stands there twice")
		}
		if !sound(x.Allowance) {
			add("has an allowance that is negative or not finite")
		}
		for n, key := range x.Keys {
			other, taken := a.byKey[key]
			switch {
			case key == "":
				add(fmt.Sprintf("key %d is empty", n))
			case taken && other != x.Name:
				add(fmt.Sprintf("key %d is also that of %s", n, other))
			}
			a.byKey[key] = x.Name
		}
		a.byName[x.Name] = x
	}
	return a, errors.Wrap(found.Err(), "accounts")
}

// sound tells whether an allowance can be kept to.
func sound(a Allowance) bool {
	for _, v := range []float64{a.Rate, a.Burst, a.Unstated} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// Of returns the account that holds a key.
func (a *Accounts) Of(key string) (Account, bool) {
	name, ok := a.byKey[key]
	return a.byName[name], ok
}

// All returns all accounts by name. The map must not be changed.
func (a *Accounts) All() map[string]Account {
	if a == nil {
		return nil
	}
	return a.byName
}
