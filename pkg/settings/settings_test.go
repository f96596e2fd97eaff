package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/settings"
)

const good = `host: a
availability_zone: z
operators: {listen: 127.0.0.1:1}
peers: {listen: 127.0.0.1:2, ca_file: a, cert_file: b, key_file: c}
platform: {log: "http://127.0.0.1:3", host_list: "http://127.0.0.1:3"}
timing: {tick: 50ms}
`

func TestDefaultsAndValues(t *testing.T) {
	is := is.New(t)
	s, found := settings.Parse("f", []byte(good))
	is.NoErr(found.Err())
	is.Equal(s.Timing.Tick, 50*time.Millisecond)
	is.Equal(s.Timing.SessionTTL, settings.Default().Timing.SessionTTL)
}

func TestFindingsHavePlaces(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer("127.0.0.1:1", "localhost:1", "http://127.0.0.1:3\", h", "ftp://x\", h", "50ms", "1ms").Replace(good)
	_, found := settings.Parse("f", []byte(bad))
	is.Equal(len(found), 4)
	is.Equal(found[0].String(), `f:3: operators.listen: "localhost:1" is no IP number with port`)
	is.Equal(found[1].Field, "platform.log")
	is.Equal(found[2].Field, "operators.token_sha256")
	is.Equal(found[3].String(), "f:6: timing.tick: at least 10ms is expected")
}
