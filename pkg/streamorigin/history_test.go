package streamorigin_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

// Guards against a record of versions that is missing while there are several, that stays when there is one again,
// or that is written again and again.
func TestVersionsToStore(t *testing.T) {
	one, two, three := []string{"1"}, []string{"1", "2"}, []string{"1", "2", "3"}
	for _, c := range []struct {
		recent, stored, write []string
		due                   bool
	}{
		{nil, nil, nil, false},
		{one, nil, nil, false},
		{two, nil, two, true},
		{two, two, two, false},
		{three, two, three, true},
		{one, two, nil, true},
		{nil, two, nil, true},
	} {
		is := is.New(t)
		write, due := streamorigin.VersionsToStore(c.recent, c.stored)
		is.Equal(write, c.write)
		is.Equal(due, c.due)
	}
}
