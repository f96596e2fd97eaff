package fleet

// AccountUse is what the callers of an account ask of one host, or of several together, in
// units of the account's allowance.
type AccountUse struct {
	Account string `cbor:"1,keyasint"`
	// Usual is what was asked for in a second, on the average of the last seconds, Served the
	// part of it that was let through.
	Usual  float64 `cbor:"2,keyasint,omitempty"`
	Served float64 `cbor:"4,keyasint,omitempty"`
	// Let is what was let through since the last report.
	Let float64 `cbor:"3,keyasint,omitempty"`
	// Unheard is what hosts that are not heard any more are taken to let through in a second;
	// the controller's own estimate.
	Unheard float64 `cbor:"-"`
}

// AccountLevels tell which accounts ask for about as much as they may, or for more. Hosts go by
// what is usual at each for all others.
type AccountLevels struct {
	// Token is that of the controller's claim, Seq counts what it has told since.
	Token int64 `cbor:"1,keyasint"`
	Seq   int64 `cbor:"2,keyasint"`
	// Levels are the whole list.
	Levels []AccountLevel `cbor:"3,keyasint,omitempty"`
}

// NewerThan tells whether levels were told later than others.
func (l AccountLevels) NewerThan(o AccountLevels) bool {
	return l.Token > o.Token || l.Token == o.Token && l.Seq > o.Seq
}

// AccountLevel is what the hosts may let through of one account.
type AccountLevel struct {
	Account string `cbor:"1,keyasint"`
	// Share is the part that a host may let through of the rate that was usual there.
	Share float64 `cbor:"2,keyasint"`
}
