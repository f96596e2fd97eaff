package orders

import (
	"slices"
	"time"
)

// FormerHolder is a holder of an earlier claim whose orders may still arrive, or arrived within the lease
// before.
type FormerHolder struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Until is when its last order may arrive, in milliseconds after the message or record was written. It
	// is negative for a time before.
	Until int64 `cbor:"3,keyasint"`
}

// formerHolder is a FormerHolder with a time of this host's clock.
type formerHolder struct {
	host, incarnation string
	// until is after the arrival of the last order.
	until time.Time
}

// formerHolders lists the holders of earlier claims, oldest first.
type formerHolders []formerHolder

// receiveFormerHolders converts the holders in a message or record. Reading it later makes all times later,
// which is safe.
func receiveFormerHolders(now time.Time, list []FormerHolder) formerHolders {
	var out formerHolders
	for _, f := range list {
		out = append(out, formerHolder{f.Host, f.Incarnation, now.Add(time.Duration(f.Until) * time.Millisecond)})
	}
	return out
}

// encode converts the holders for a message or record that is written now.
func (l formerHolders) encode(now time.Time) []FormerHolder {
	var out []FormerHolder
	for _, f := range l {
		out = append(out, FormerHolder{f.host, f.incarnation, ceilMilliseconds(f.until.Sub(now))})
	}
	return out
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1).Truncate(time.Millisecond) / time.Millisecond)
}

// append returns the list with a newer holder and without those whose orders ended more than the lease ago.
func (l formerHolders) append(now time.Time, lease time.Duration, f formerHolder) formerHolders {
	var out formerHolders
	for _, old := range l {
		if now.Sub(old.until) < lease {
			out = append(out, old)
		}
	}
	return append(out, f)
}

// extend returns the list in which the orders of a holder end no earlier than those of f.
func (l formerHolders) extend(f formerHolder) formerHolders {
	out := slices.Clone(l)
	for i := range out {
		if out[i].host == f.host && out[i].incarnation == f.incarnation {
			out[i].until = later(out[i].until, f.until)
			return out
		}
	}
	return append(formerHolders{f}, out...)
}

// bound returns the list in which the orders of some holders end no later than at a time.
func (l formerHolders) bound(until time.Time, of func(formerHolder) bool) formerHolders {
	out := make(formerHolders, len(l))
	for i, f := range l {
		if of(f) && f.until.After(until) {
			f.until = until
		}
		out[i] = f
	}
	return out
}

// ordersFrom returns the earliest time at which a host that succeeds them may send orders: no order of
// another one arrives any more, and the host does not take turns with another one within the lease.
func (l formerHolders) ordersFrom(host string, lease time.Duration) time.Time {
	var from time.Time
	othersSince := false
	for i := len(l) - 1; i >= 0; i-- {
		until := l[i].until
		if l[i].host != host {
			othersSince = true
		} else if othersSince {
			until = until.Add(lease)
		}
		from = later(from, until)
	}
	return from
}
