package streamjudge_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/streamjudge"
)

// Guards against a judge that does not see a breach, or that sees one where there is none.
func TestEachBreachIsFound(t *testing.T) {
	runs := map[string]streamjudge.Run{
		"a":     {Stream: "s", Origin: "llm 1", Last: 4},
		"b":     {Stream: "s", Origin: "llm 1", After: 2, Last: 4},
		"newer": {Stream: "s", Origin: "llm 2", After: 2, Last: 4},
		"other": {Stream: "t", Origin: "llm 1", After: 2, Last: 4},
	}
	events := func(tag string, ids ...int) string {
		out := ""
		for _, id := range ids {
			out += streamjudge.Event(tag, id)
		}
		return out
	}
	for _, c := range []struct {
		name     string
		once     bool
		attempts []streamjudge.Attempt
		want     []streamjudge.Kind
	}{
		{"whole", true, []streamjudge.Attempt{{events("a", 1, 2, 3, 4), true}}, nil},
		{"broken inside an event", true, []streamjudge.Attempt{{events("a", 1, 2) + "id: 3\nda", false}}, nil},
		{"goes on within its response", false, []streamjudge.Attempt{{events("a", 1, 2) + events("b", 3, 4), true}}, nil},
		{"taken up", false, []streamjudge.Attempt{{events("a", 1, 2) + "id", false}, {events("b", 3, 4), true}}, nil},
		{"missing", true, []streamjudge.Attempt{{events("a", 1, 3, 4), true}}, []streamjudge.Kind{streamjudge.Missing}},
		{"first one missing", true, []streamjudge.Attempt{{events("a", 2, 3, 4), true}}, []streamjudge.Kind{streamjudge.Missing}},
		{"repeated", true, []streamjudge.Attempt{{events("a", 1, 2, 2, 3, 4), true}}, []streamjudge.Kind{streamjudge.Repeated}},
		{"back", true, []streamjudge.Attempt{{events("a", 1, 2, 3, 1), false}}, []streamjudge.Kind{streamjudge.Repeated}},
		{"altered", true, []streamjudge.Attempt{{events("a", 1) + "id: 2\ndata: token 3 of run a\n\n", false}}, []streamjudge.Kind{streamjudge.Altered}},
		{"merged", true, []streamjudge.Attempt{{"id: 1\ndata: token 1 of rid: 2\ndata: token 2 of run a\n\n", false}}, []streamjudge.Kind{streamjudge.Altered}},
		{"of another stream", true, []streamjudge.Attempt{{events("a", 1, 2) + events("other", 3), false}}, []streamjudge.Kind{streamjudge.OtherStream}},
		{"joined, not resumable", true, []streamjudge.Attempt{{events("a", 1, 2) + events("b", 3, 4), true}}, []streamjudge.Kind{streamjudge.JoinedRuns}},
		{"joined versions", false, []streamjudge.Attempt{{events("a", 1, 2), false}, {events("newer", 3, 4), true}}, []streamjudge.Kind{streamjudge.JoinedOrigins}},
		{"joined inside", false, []streamjudge.Attempt{{events("a", 1, 2, 3) + events("b", 4), true}}, []streamjudge.Kind{streamjudge.JoinedInside}},
		{"ends early", true, []streamjudge.Attempt{{events("a", 1, 2, 3), true}}, []streamjudge.Kind{streamjudge.EndsEarly}},
		{"ends inside", true, []streamjudge.Attempt{{events("a", 1, 2, 3) + "id: 4\n", true}}, []streamjudge.Kind{streamjudge.EndsInside}},
		{"after the end", false, []streamjudge.Attempt{{events("a", 1, 2, 3, 4), true}, {events("b", 3), false}}, []streamjudge.Kind{streamjudge.EventsAfterEnd, streamjudge.Repeated}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []streamjudge.Kind
			for _, f := range streamjudge.Check(streamjudge.Stream{ID: "s", Resumable: !c.once, Attempts: c.attempts}, runs) {
				got = append(got, f.Kind)
			}
			is.Equal(got, c.want)
		})
	}
}
