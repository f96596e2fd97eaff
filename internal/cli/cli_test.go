package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/dev"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// run executes a command and returns its exit code and output.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(file, []byte("customer: c\nmodels:\n- {name: a, colour: red}\n- {name: b, weights_mb: x}\n"), 0o600))
	code, _, errOut := run("contract", "check", file)
	is.Equal(code, 1)
	is.Equal(strings.Count(errOut, file+":"), 2)
	is.True(strings.Contains(errOut, file+":3: models[0].colour: unknown field"))

	code, out, _ := run("contract", "check", "../../examples/dev/contract.yaml")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "ok"))
	code, out, _ = run("version")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "tealvane "))
	for _, args := range [][]string{{}, {"unknown"}, {"contract"}, {"contract", "check"}, {"contract", "publish", "x"}, {"call"}, {"dev-certs"}, {"-flag"}} {
		code, _, _ = run(args...)
		is.Equal(code, 2)
	}
	code, _, errOut = run("status", "-operators", "http://127.0.0.1:1")
	is.Equal(code, 1)
	is.True(errOut != "")
}

// Checks that the development mode serves a call to a model that is not loaded, a
// second call and a plain service, and returns when its context is canceled.
func TestDevServesCallsAndStops(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ready := make(chan string, 1)
	done := make(chan error, 1)
	go func() {
		done <- dev.Run(ctx, dev.Options{
			Callers:   "127.0.0.1:0",
			Operators: "127.0.0.1:0",
			Out:       io.Discard,
			Log:       io.Discard,
			Ready:     func(addr string) { ready <- addr },
		})
	}()
	var url string
	select {
	case addr := <-ready:
		url = "http://" + addr
	case err := <-done:
		t.Fatal(err)
	}
	for range 2 {
		code, out, errOut := run("call", "-callers", url, "-token", "dev-token", "-model", "summary", "hello")
		is.Equal(errOut, "")
		is.Equal(code, 0)
		is.True(strings.Contains(out, "summary answers: hello"))
	}
	code, out, _ := run("call", "-callers", url, "-token", "dev-token", "-service", "screening", `{"name":"x"}`)
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"run":1`))
	code, _, errOut := run("call", "-callers", url, "-token", "wrong", "-model", "summary", "hello")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "401"))
	code, _, errOut = run("call", "-callers", url, "-token", "dev-token", "-model", "other", "hello")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "403"))
	http.DefaultClient.CloseIdleConnections()
	stop()
	is.NoErr(<-done)
}

// Checks that the gateway's development mode rejects a call without a key, serves a
// model that is not loaded, and returns when its context is canceled.
func TestDevPlatformLoadsModelAndStops(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ready := make(chan string, 1)
	done := make(chan error, 1)
	go func() {
		done <- dev.RunPlatform(ctx, dev.Options{
			Callers: "127.0.0.1:0",
			Out:     io.Discard,
			Log:     io.Discard,
			Ready:   func(addr string) { ready <- addr },
		})
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+<-ready+"/summary/", strings.NewReader("{}"))
	is.NoErr(err)
	req.Host = "dev.example"
	req.Header.Set("X-Request-Attempt-Id", "a")
	req.Header.Set("X-Model-Name", "rare")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusUnauthorized) // no X-Key
	req.Header.Set("X-Key", site.DevKey)
	req.Body, err = req.GetBody()
	is.NoErr(err)
	resp, err = http.DefaultClient.Do(req)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(body), "token 12"))
	stop()
	is.NoErr(<-done)
}
