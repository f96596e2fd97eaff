package state

import (
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/record"
)

// ContractEntry is the published contract of a customer.
type ContractEntry struct {
	Version  uint64
	Offset   record.Offset
	Document []byte
	Contract *contract.Contract
}

// Contracts holds the current contract of each customer.
type Contracts struct {
	mu      sync.RWMutex
	entries map[string]ContractEntry
}

func newContracts() *Contracts {
	return &Contracts{entries: map[string]ContractEntry{}}
}

// publish replaces a customer's contract by compare-and-set on its version. If
// two operators start from the same version, the second record is rejected. A
// delayed copy of an old record cannot restore an old contract.
func (c *Contracts) publish(off record.Offset, p record.Contract) error {
	current := c.entries[p.Customer]
	if p.Base != current.Version {
		return errors.Wrapf(ErrStale, "contract of %q has version %d, record expects %d", p.Customer, current.Version, p.Base)
	}
	parsed, findings := contract.Parse("", p.Document)
	if err := findings.Err(); err != nil {
		return errors.Wrapf(ErrInvalid, "contract of %q: %v", p.Customer, err)
	}
	if parsed.Customer != p.Customer {
		return errors.Wrapf(ErrInvalid, "document names customer %q, record names %q", parsed.Customer, p.Customer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[p.Customer] = ContractEntry{
		Version:  p.Base + 1,
		Offset:   off,
		Document: p.Document,
		Contract: parsed,
	}
	return nil
}

// Get returns the current contract of a customer.
func (c *Contracts) Get(customer string) (ContractEntry, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, ok := c.entries[customer]
	return e, ok
}

// Customers returns the names of all customers in sorted order.
func (c *Contracts) Customers() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Sorted(maps.Keys(c.entries))
}

// Authenticate returns the contract that lists the digest of token as a credential.
func (c *Contracts) Authenticate(token string) (ContractEntry, bool) {
	digest := contract.TokenDigest(token)
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, e := range c.entries {
		if e.Contract.HasCredential(digest) {
			return e, true
		}
	}
	return ContractEntry{}, false
}

func (c *Contracts) model(customer, name string) (contract.Model, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, ok := c.entries[customer]
	if !ok {
		return contract.Model{}, false
	}
	return e.Contract.Model(name)
}

// PoolNames returns the pools of all loadable models in sorted order.
func (c *Contracts) PoolNames() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	names := map[string]bool{}
	for _, e := range c.entries {
		for _, m := range e.Contract.Models {
			if m.Loadable() {
				names[m.Pool] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// PoolModel is a loadable model of a pool and the customer it belongs to.
type PoolModel struct {
	Customer string
	Weights  contract.CostWeights
	contract.Model
}

// Models returns the loadable models of a pool, ordered by customer and then by
// position in the contract.
func (c *Contracts) Models(pool string) []PoolModel {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var models []PoolModel
	for _, customer := range slices.Sorted(maps.Keys(c.entries)) {
		doc := c.entries[customer].Contract
		for _, m := range doc.Models {
			if m.Pool == pool && m.Loadable() {
				models = append(models, PoolModel{Customer: customer, Weights: doc.Weights, Model: m})
			}
		}
	}
	return models
}
