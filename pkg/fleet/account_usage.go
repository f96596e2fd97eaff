package fleet

// AccountUse is the usage of an account at one host or at several hosts together, in the unit
// of the account's allowance.
type AccountUse struct {
	Account string `cbor:"1,keyasint"`
	// Usual is the average rate per second requested over the last seconds, and Served is the
	// part of it that was admitted.
	Usual  float64 `cbor:"2,keyasint,omitempty"`
	Served float64 `cbor:"4,keyasint,omitempty"`
	// Let is the amount admitted since the last report.
	Let float64 `cbor:"3,keyasint,omitempty"`
	// Unheard is the estimated rate per second admitted by hosts whose reports have expired.
	// Only the controller sets it.
	Unheard float64 `cbor:"-"`
}

// AccountLevels lists the accounts that are near or above their limits. Each host limits them
// in proportion to its own usual rate; all other accounts are not limited.
type AccountLevels struct {
	// Token is the fencing token of the controller's claim, and Seq numbers the lists sent
	// under that claim.
	Token int64 `cbor:"1,keyasint"`
	Seq   int64 `cbor:"2,keyasint"`
	// Levels is the complete list.
	Levels []AccountLevel `cbor:"3,keyasint,omitempty"`
}

// NewerThan reports whether l was sent after o.
func (l AccountLevels) NewerThan(o AccountLevels) bool {
	return l.Token > o.Token || l.Token == o.Token && l.Seq > o.Seq
}

// AccountLevel is the admission limit of one account.
type AccountLevel struct {
	Account string `cbor:"1,keyasint"`
	// Share is the fraction of its own usual rate that a host may admit.
	Share float64 `cbor:"2,keyasint"`
}
