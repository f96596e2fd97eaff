package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
)

// The controller is dead, and a host asks the others before it claims. One of them
// has not read the asker's entry yet and says nothing of the holder; that read as
// "heard just now", and nobody claimed until its hanging read had ended.
func TestWhoCanWitnessTheHolder(t *testing.T) {
	const token = 5
	claim := func(token int64) *orders.Claim { return &orders.Claim{Token: token} }
	for _, c := range []struct {
		name   string
		answer peer.Response
		ok     bool
	}{
		{"it does not know the asker", peer.Response{}, false},
		{"it knows an older claim", peer.Response{Claim: claim(token - 1), HolderHeard: 10}, false},
		{"it has heard the holder lately", peer.Response{Claim: claim(token), HolderHeard: 100}, true},
		{"it is the holder", peer.Response{Claim: claim(token), Controlling: true}, true},
		{"it has not heard it for long", peer.Response{Claim: claim(token), HolderHeard: 2000}, false},
		{"it knows a newer claim", peer.Response{Claim: claim(token + 1), HolderHeard: 10}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ago, ok := witnessed(c.answer, token)
			is.Equal(ok, c.ok)
			is.True(!ok || ago == time.Duration(c.answer.HolderHeard)*time.Millisecond)
		})
	}
}
