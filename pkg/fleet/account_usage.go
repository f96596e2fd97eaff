package fleet

// AccountUsage is the usage of an account at one host or at several hosts together, in the unit
// of the account's allowance.
type AccountUsage struct {
	Account string `cbor:"1,keyasint"`
	// RequestedRate is the requested rate per second, averaged over the last few seconds.
	// AdmittedRate is the part of it that was admitted.
	RequestedRate float64 `cbor:"2,keyasint,omitempty"`
	AdmittedRate  float64 `cbor:"4,keyasint,omitempty"`
	// Admitted is the amount admitted since the last report.
	Admitted float64 `cbor:"3,keyasint,omitempty"`
	// UnreportedRate is the estimated rate per second admitted by hosts whose reports have expired.
	// Only the controller sets it.
	UnreportedRate float64 `cbor:"-"`
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
