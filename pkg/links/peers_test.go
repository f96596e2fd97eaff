package links_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/links"
)

// Guards against a host without links that takes late answers for the word that no host has links, and so claims
// beside one that has.
func TestSilenceOfPeersIsNotANo(t *testing.T) {
	is := is.New(t)
	var p links.Peers
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	is.True(p.NoneLinked(at(0), true))
	is.True(!p.NoneLinked(at(100), false))
	is.True(!p.NoneLinked(at(1000), false))
	p.RecordLinked(at(1050))
	is.True(!p.NoneLinked(at(1500), false)) // The silence starts anew.
	is.True(p.NoneLinked(at(2500), false))
	is.True(p.NoneLinked(at(2600), true))
	is.True(!p.NoneLinked(at(2700), false))
	is.True(p.NoneLinked(at(5000), false))    // asked rarely
	is.True(!p.NoneLinked(at(60_000), false)) // Nobody was asked in between.
	is.True(p.NoneLinked(at(61_000), false))
}
