package bodybudget

import (
	"io"
	"sync"
)

// Keyed is a budget for each key, so that the bodies of one leave the others their memory. It is safe for concurrent
// use.
type Keyed struct {
	limit int64

	mu sync.Mutex
	// budgets holds the keys that have bodies in use.
	budgets map[string]*keyBudget
}

type keyBudget struct {
	*Budget
	bodies int
}

// NewKeyed returns budgets of limit bytes a key, or without a bound if limit is 0.
func NewKeyed(limit int64) *Keyed {
	return &Keyed{limit: limit, budgets: map[string]*keyBudget{}}
}

// Read reads a body as Budget.Read does, with the memory of a key.
func (k *Keyed) Read(key string, src io.Reader, length int64) (body []byte, release func(), err error) {
	b := k.use(key)
	body, put, err := b.Read(src, length)
	if err != nil {
		k.unuse(key, b)
		return nil, nil, err
	}
	return body, func() { put(); k.unuse(key, b) }, nil
}

func (k *Keyed) use(key string) *keyBudget {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.budgets[key]
	if b == nil {
		b = &keyBudget{Budget: New(k.limit)}
		k.budgets[key] = b
	}
	b.bodies++
	return b
}

func (k *Keyed) unuse(key string, b *keyBudget) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.bodies--; b.bodies == 0 {
		delete(k.budgets, key)
	}
}

// Keys returns the number of keys that have bodies in use.
func (k *Keyed) Keys() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.budgets)
}
