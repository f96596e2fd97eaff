package record_test

import (
	"testing"

	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// FuzzDecode checks that arbitrary bytes are either rejected or applied without an
// error, and that a decoded record can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range []record.Record{
		{Renew: &record.SessionRenew{HostRef: record.HostRef{Host: "h"}}},
		{Plan: &record.Plan{Pool: "p", Decisions: []record.Decision{{Place: &record.Place{Replica: "r"}}}}},
		{KeyBatch: &record.KeyBatch{Claims: []record.KeyClaim{{Key: record.Key{Customer: "c", Value: "v"}}}}},
		{Snapshot: &record.Snapshot{AsOf: 3, Count: 1, Data: []byte("x")}},
	} {
		data, err := record.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		st := state.New()
		if _, _, err := st.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		if _, err := st.Snapshot(); err != nil {
			t.Fatal(err)
		}
		r, err := record.Decode(data)
		if err != nil {
			return
		}
		if _, err := record.Encode(r); err != nil && len(data) < record.MaxBytes/2 {
			t.Fatal(err)
		}
	})
}
