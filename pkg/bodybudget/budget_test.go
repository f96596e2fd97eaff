package bodybudget_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/bodybudget"
	"pgregory.net/rapid"
)

// Guards against bodies that together take more memory than a host has, and against memory that is not given
// back. Bodies have a length or none, arrive in pieces and break off.
func TestBodiesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := bodybudget.New(limit)
		var releases []func()
		for range rapid.IntRange(1, 30).Draw(t, "bodies") {
			size := rapid.SampledFrom([]int{0, 1, 16 << 10, 16<<10 + 1, 100 << 10, 600 << 10, limit, limit + 1}).Draw(t, "size")
			want := bytes.Repeat([]byte("b"), size)
			src, length := io.Reader(bytes.NewReader(want)), int64(-1)
			if rapid.Bool().Draw(t, "length known") {
				length = int64(size)
			}
			breaks := rapid.IntRange(0, 9).Draw(t, "breaks") == 0
			if breaks {
				src = io.MultiReader(io.LimitReader(src, int64(size/2)), iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			got, release, err := b.Read(src, length)
			used, _ := b.Used()
			if used > limit {
				t.Fatalf("%d bytes in use", used)
			}
			switch {
			case err == nil && (!bytes.Equal(got, want) || breaks && size > 0):
				t.Fatalf("read %d bytes of a body of %d, broken off: %t", len(got), size, breaks)
			case err == nil:
				releases = append(releases, release)
			case !breaks && (!errors.Is(err, bodybudget.ErrExhausted) || used+4*int64(size) < limit):
				t.Fatalf("%v with %d bytes in use", err, used)
			}
			if len(releases) > 0 && rapid.Bool().Draw(t, "release") {
				releases[0]()
				releases = releases[1:]
			}
		}
		for _, release := range releases {
			release()
		}
		if used, _ := b.Used(); used != 0 {
			t.Fatalf("%d bytes in use after all were given back", used)
		}
	})
}

// Guards against a body that is read although it is known not to fit.
func TestBodyWithoutRoomIsNotRead(t *testing.T) {
	is := is.New(t)
	b := bodybudget.New(100)
	_, release, err := b.Read(bytes.NewReader(make([]byte, 60)), 60)
	is.NoErr(err)
	_, _, err = b.Read(iotest.ErrReader(errors.New("was read")), 41)
	is.True(errors.Is(err, bodybudget.ErrExhausted))
	_, rejected := b.Used()
	is.Equal(rejected, int64(1))
	release()
	_, _, err = b.Read(bytes.NewReader(make([]byte, 41)), 41)
	is.NoErr(err)
}

// Guards against the bodies of one key that take the memory of others, and against memory that is kept for keys
// without bodies.
func TestKeysHaveBudgetsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	k := bodybudget.NewKeyed(1 << 20)
	_, releaseA, err := k.Read("a", bytes.NewReader(make([]byte, 1<<20)), 1<<20)
	is.NoErr(err)
	_, _, err = k.Read("a", bytes.NewReader([]byte("b")), 1)
	is.True(errors.Is(err, bodybudget.ErrExhausted))
	body, releaseB, err := k.Read("b", bytes.NewReader([]byte("b")), -1)
	is.NoErr(err)
	is.Equal(string(body), "b")
	is.Equal(k.Keys(), 2)
	releaseA()
	releaseB()
	is.Equal(k.Keys(), 0)
	_, _, err = k.Read("a", iotest.ErrReader(io.ErrUnexpectedEOF), -1)
	is.True(err != nil)
	is.Equal(k.Keys(), 0)
}
