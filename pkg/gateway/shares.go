package gateway

import "github.com/tealvane/tealvane/pkg/serve"

const (
	// maxShareAccounts bounds the accounts whose shares are reported: those with the most work.
	maxShareAccounts = 32
	// otherAccounts and noAccount are the tag values of all other accounts and of requests without
	// an account.
	otherAccounts = "other"
	noAccount     = "none"
)

// accountShares reports the shares of client accounts at services that are scheduled for
// contention. It is not safe for concurrent use.
type accountShares struct {
	// reported holds the tag values of the last report.
	reported map[string]bool
}

// update reports the shares of accounts, those with the most work first. A series of an account
// that is not among them any more is set to 0.
func (a *accountShares) update(m *metrics, list []serve.AccountShare) {
	byTag := map[string]serve.AccountShare{}
	for tag := range a.reported {
		byTag[tag] = serve.AccountShare{}
	}
	for i, s := range list {
		tag := otherAccounts
		switch {
		case s.Account == "":
			tag = noAccount
		case i < maxShareAccounts:
			tag = m.accounts.limit(s.Account)
		}
		sum := byTag[tag]
		sum.Share += s.Share
		sum.Waiting += s.Waiting
		byTag[tag] = sum
	}
	a.reported = map[string]bool{}
	for tag, s := range byTag {
		a.reported[tag] = true
		scope := m.scope.Tagged(map[string]string{"account": tag})
		scope.Gauge("account_share").Update(s.Share)
		scope.Gauge("account_waiting").Update(float64(s.Waiting))
	}
}
