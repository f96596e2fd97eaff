package entryhost

import (
	"fmt"
	"testing"

	"github.com/tealvane/tealvane/internal/api/callers"
)

// Guards against requests that are dropped, answered late or incorrectly, reported as not run
// although they ran, or run twice, under generated failures of hosts, the log and endpoints.
func TestRequestsUnderFailure(t *testing.T) {
	checkSchedules(t, allFailures, func(r result) []string {
		var found []string
		found = append(found, checkAnswered(r)...)
		found = append(found, checkComplete(r)...)
		found = append(found, checkNotRun(r)...)
		return append(found, checkAtMostOnce(r)...)
	})
}

// checkAnswered checks that each call got exactly one response and that refusals are not late.
func checkAnswered(r result) (found []string) {
	for _, c := range r.calls {
		if c.responses != 1 {
			found = append(found, fmt.Sprintf("%s got %d responses, want 1", c.id, c.responses))
		}
		if c.refusal != nil && c.refusal.Code == callers.ErrorDetailCodeNotRun && c.end.After(c.deadline.Add(tolerance)) {
			found = append(found, fmt.Sprintf("%s was refused %s after its deadline", c.id, c.end.Sub(c.deadline)))
		}
		if c.refusal != nil && c.refusal.Code == callers.ErrorDetailCodeNotRun && c.refusal.RetryAfter <= 0 {
			found = append(found, fmt.Sprintf("%s was refused without a retry delay", c.id))
		}
	}
	return found
}

// checkComplete checks that each successful completion is the complete response to its own request.
func checkComplete(r result) (found []string) {
	for _, c := range r.calls {
		service := c.model == "lookup" || c.model == "screen"
		if c.refusal == nil && !service && c.text != c.expectedText() {
			found = append(found, fmt.Sprintf("%s got incomplete or wrong response %q", c.id, c.text))
		}
	}
	return found
}

// checkNotRun checks that no endpoint ran a call that was refused as not run.
func checkNotRun(r result) (found []string) {
	for _, c := range r.calls {
		if c.refusal != nil && c.refusal.Code == callers.ErrorDetailCodeNotRun && r.runs[c.id] > 0 {
			found = append(found, fmt.Sprintf("%s (%s) was refused as not run (%s), but ran", c.id, c.model, c.refusal.Reason))
		}
	}
	return found
}

// checkAtMostOnce checks that the calls with one key led to at most one run and that their responses
// are identical.
func checkAtMostOnce(r result) (found []string) {
	runs := map[string]int{}
	responses := map[string]string{}
	for _, c := range r.calls {
		if c.key == "" {
			continue
		}
		key := c.model + " " + c.key
		runs[key] += r.runs[c.id]
		if c.refusal != nil {
			continue
		}
		if first, known := responses[key]; known && first != c.text {
			found = append(found, fmt.Sprintf("%s got response %q, another call with the same key got %q", c.id, first, c.text))
		}
		responses[key] = c.text
	}
	for key, n := range runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("calls with key %q ran %d times, want at most 1", key, n))
		}
	}
	return found
}

// Guards against schedules that serve no requests. Models may be refused for lack of memory, but
// services may not.
func TestRequestsWithoutFailure(t *testing.T) {
	checkSchedules(t, []string{"slow loads"}, func(r result) []string {
		var found []string
		served := 0
		for _, c := range r.calls {
			service := c.model == "lookup" || c.model == "screen"
			if c.refusal != nil && service {
				found = append(found, fmt.Sprintf("%s (%s) was refused without an injected failure: %v", c.id, c.model, c.refusal))
			}
			if c.refusal == nil {
				served++
			}
		}
		if served == 0 {
			found = append(found, "no request was served")
		}
		return found
	})
}
