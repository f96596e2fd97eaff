package streamorigin_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

func versions(v ...string) map[string][]string { return map[string][]string{"s": v} }

// Guards against a record of versions that lacks one, that keeps one that is gone, that is written again and again, or
// that drops what its writer does not know of.
func TestPlanWrite(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  streamorigin.Record
		stored *streamorigin.Record
		owner  bool
		want   *streamorigin.Record
	}{
		{"first record", streamorigin.Record{Versions: versions("1")}, nil, true, &streamorigin.Record{Versions: versions("1")}},
		{"unchanged", streamorigin.Record{Versions: versions("1")}, &streamorigin.Record{Versions: versions("1")}, true, nil},
		{"second version", streamorigin.Record{Versions: versions("1", "2")}, &streamorigin.Record{Versions: versions("1")}, true, &streamorigin.Record{Versions: versions("1", "2")}},
		{"version gone", streamorigin.Record{Versions: versions("2")}, &streamorigin.Record{Versions: versions("1", "2")}, true, &streamorigin.Record{Versions: versions("2")}},
		{"version gone, another host", streamorigin.Record{Versions: versions("2")}, &streamorigin.Record{Versions: versions("1", "2")}, false, nil},
		{"version gone, not known for long", streamorigin.Record{Versions: versions("2"), Partial: true}, &streamorigin.Record{Versions: versions("1", "2")}, true, nil},
		{"other versions, not known for long", streamorigin.Record{Versions: versions("2"), Partial: true}, &streamorigin.Record{Versions: versions("1")}, true, &streamorigin.Record{Versions: versions("1", "2"), Partial: true}},
		{"record of an older copy", streamorigin.Record{Era: 1, Versions: versions("1"), Partial: true}, &streamorigin.Record{Versions: versions("1")}, true, &streamorigin.Record{Era: 1, Versions: versions("1"), Partial: true}},
		{"service of a moved route, not known for long",
			streamorigin.Record{Versions: map[string][]string{"t": {"2"}}, Routes: map[string][]string{"r": {"t"}}, Partial: true}, &streamorigin.Record{Versions: versions("1")}, true,
			&streamorigin.Record{Versions: map[string][]string{"s": {"1"}, "t": {"2"}}, Routes: map[string][]string{"r": {"s", "t"}}, Partial: true}},
		{"partial record", streamorigin.Record{Versions: versions("1")}, &streamorigin.Record{Versions: versions("1"), Partial: true}, true, &streamorigin.Record{Versions: versions("1")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(streamorigin.PlanWrite(c.known, c.stored, c.owner), c.want)
		})
	}
}

// Guards against streams that begin at a version which hosts that start later would not know of.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	recorded := func(names ...string) func(string) bool {
		return func(v string) bool { return slices.Contains(names, v) }
	}
	is.Equal(streamorigin.Admit([]string{"1"}, []string{"1", "2"}, recorded("1")), []string{"1"})
	is.Equal(streamorigin.Admit([]string{"1"}, []string{"1", "2"}, recorded("1", "2")), []string{"1", "2"})
	is.Equal(streamorigin.Admit([]string{"1"}, []string{"2"}, recorded("1")), []string{"2"}) // There is nothing else.
}

// Guards against a version that counts as new again, or as known for long after it was gone.
func TestJoined(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var j streamorigin.Joined
	is.Equal(j.Since(now, "s", "1"), time.Duration(0))
	j.Retain(map[string][]string{"s": {"1"}})
	is.Equal(j.Since(now.Add(time.Second), "s", "1"), time.Second)
	j.Retain(map[string][]string{"s": {"2"}})
	is.Equal(j.Since(now.Add(2*time.Second), "s", "1"), time.Duration(0))
}

// Guards against taking the present service of a route for the one that began its streams.
func TestRoutesRememberEarlierServices(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	route := func(prefix string, services ...string) fleet.Route {
		r := fleet.Route{Host: "h", PathPrefix: prefix, Kind: fleet.Stream, Resumable: true}
		for _, s := range services {
			r.Targets = append(r.Targets, fleet.Target{Service: s, Weight: 1})
		}
		return r
	}
	configs := [][]fleet.Route{
		{route("/a/", "1")},
		{route("/a/", "2")},
		{route("/a/", "2"), route("/a/b/", "3")}, // A longer prefix takes requests of the first route over.
		{route("/a/", "4")},                      // And gives them back.
	}
	routes := streamorigin.NewRoutes()
	for v, c := range configs {
		routes.Observe(now, &fleet.Config{Version: int64(v), Routes: c})
		now = now.Add(time.Second)
		if v == 2 {
			is.Equal(routes.Services(now, "h/a/b/"), []string{"1", "2", "3"})
		}
	}
	is.Equal(routes.Services(now, "h/a/"), []string{"1", "2", "3", "4"})
	is.Equal(routes.Services(now.Add(2*streamorigin.HistoryTime), "h/a/"), []string{"4"})
}

// Guards against trusting a record that another era of the store or a writer without full knowledge has left, and
// against knowing what happened while a host was suspended.
func TestHistoryIsCompleteOnlyWithTrustedRecord(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var h streamorigin.History
	h.Set(now, streamorigin.Record{Era: 1}, 1)
	is.True(!h.Complete(now, []string{"s"})) // It does not follow changes yet.
	h.Check(now, false)
	services := []string{"s"}
	for _, c := range []struct {
		record   streamorigin.Record
		complete bool
	}{
		{streamorigin.Record{Era: 1, Versions: versions("1")}, true},
		{streamorigin.Record{Versions: versions("1")}, false},
		{streamorigin.Record{Era: 1, Versions: versions("1"), Partial: true}, false},
		{streamorigin.Record{Era: 1, Versions: map[string][]string{"other": {"1"}}}, false},
		{streamorigin.Record{Era: 1}, true},
	} {
		h.Set(now, c.record, 1)
		is.Equal(h.Complete(now, services), c.complete)
	}
	for range streamorigin.HistoryTime / time.Second {
		now = now.Add(time.Second)
		h.Check(now, false)
	}
	is.True(h.Complete(now, services))
	is.True(h.Record(now) == nil)
	is.True(!h.Complete(now.Add(3*time.Second), services)) // Suspended, and not checked since.
	h.Check(now.Add(3*time.Second), false)
	is.True(!h.Complete(now.Add(3*time.Second), services))
	h.Check(now.Add(4*time.Second), true)
	is.True(!h.Complete(now.Add(4*time.Second), services))
}
