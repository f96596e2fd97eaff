package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// inner is a valid response, sent as the body of an invalid one or right behind it.
const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// readSent sends a request to an endpoint that answers with the given bytes. It returns the status and the body of the
// response, and the violations that were reported.
func readSent(t *testing.T, sent string) (status int, body string, violations []upstream.Violation, err error) {
	t.Helper()
	addr, _ := serveRaw(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(c, sent)
		_ = c.Close()
	})
	transport := upstream.NewTransport(time.Now, func(fleet.Endpoint) int { return 1 }, upstream.Dial)
	transport.OnViolation = func(_ fleet.EndpointID, v upstream.Violation, _ int) { violations = append(violations, v) }
	resp, err := transport.Do(t.Context(), fleet.Endpoint{ID: "e", Addr: addr}, upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return 0, "", violations, err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), violations, joinClose(resp, err)
}

// checkInvalid fails unless a response is taken for a malformed one.
func checkInvalid(t *testing.T, sent string) {
	t.Helper()
	is := is.New(t)
	_, body, violations, err := readSent(t, sent)
	is.True(errors.Is(err, upstream.ErrMalformedHead))
	is.True(!errors.Is(err, upstream.ErrNotSent)) // It may have run.
	is.Equal(body, "")
	is.Equal(violations, []upstream.Violation{upstream.HeadMalformed})
}

// Guards against taking what follows a head with an invalid status for the response, and against switching to a
// protocol that the request did not ask for.
func TestResponseWithoutValidStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "+20", "101"} {
		for name, sent := range map[string]string{
			"plain body":     "Content-Length: 2\r\n\r\nno",
			"no body":        "\r\n",
			"head as body":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner),
			"head behind it": "\r\n" + inner,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				checkInvalid(t, "HTTP/1.1 "+status+" A\r\n"+sent)
				checkInvalid(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" A\r\n"+sent)
			})
		}
	}
}

// Guards against taking a valid status for an invalid one. Those from 600 count as server errors (RFC 9110, section 15).
func TestResponseWithUnusualStatusIsRead(t *testing.T) {
	for _, interim := range []string{"", "100", "102", "103", "199"} {
		for _, status := range []int{200, 299, 304, 418, 500, 599, 600, 999} {
			t.Run(fmt.Sprintf("%s, %d", interim, status), func(t *testing.T) {
				is := is.New(t)
				sent := fmt.Sprintf("HTTP/1.1 %d A\r\nConnection: close\r\n\r\nok", status)
				if interim != "" {
					sent = "HTTP/1.1 " + interim + " A\r\nLink: a\r\n\r\n" + sent
				}
				got, body, violations, err := readSent(t, sent)
				is.NoErr(err)
				is.Equal(got, status)
				is.True(body == "ok" || status == http.StatusNotModified)
				is.Equal(len(violations), 0)
			})
		}
	}
}

// Guards against passing on a field whose name is no token, and against a body that is framed otherwise than its
// endpoint meant, since the name of a field that frames it is not understood.
func TestResponseWithInvalidFieldNameIsMalformed(t *testing.T) {
	for name, field := range map[string]string{
		"blank inside":          "X A: 1",
		"blank before colon":    "X-A : 1",
		"blank and length":      "Content-Length : 1",
		"blank and chunks":      "Transfer-Encoding : chunked",
		"blank and own request": "X-Id : own",
		"blank first":           " X-A: 1",
		"only a blank":          " : 1",
		"empty":                 ": 1",
		"tab":                   "X\tA: 1",
		"tab before colon":      "X-A\t: 1",
		"control byte":          "X\x01A: 1",
		"NUL":                   "X\x00A: 1",
		"CR":                    "X\rA: 1",
		"DEL":                   "X\x7fA: 1",
		"byte above ASCII":      "X\xe4A: 1",
		"delimiter":             "X(A): 1",
		"no colon":              "X-A",
	} {
		for form, sent := range map[string]string{
			"length":     "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok",
			"chunks":     "HTTP/1.1 200 OK\r\n" + field + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"unframed":   "HTTP/1.1 200 OK\n" + field + "\n\nok",
			"in interim": "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + inner,
		} {
			t.Run(name+", "+form, func(t *testing.T) { checkInvalid(t, sent) })
		}
	}
}
