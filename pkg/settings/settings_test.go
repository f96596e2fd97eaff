package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/settings"
)

const validSettings = `host: a
availability_zone: z
operators: {listen: 127.0.0.1:1}
peers: {listen: 127.0.0.1:2, ca_file: a, cert_file: b, key_file: c}
platform: {log: "http://127.0.0.1:3", host_list: "http://127.0.0.1:3"}
timing: {tick: 50ms}
`

func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	s, findings := settings.Parse("f", []byte(validSettings))
	is.NoErr(findings.Err())
	is.Equal(s.Timing.Tick, 50*time.Millisecond)
	is.Equal(s.Timing.SessionTTL, settings.Default().Timing.SessionTTL)
}

func TestFindingsNameLineAndField(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer("127.0.0.1:1", "localhost:1", "http://127.0.0.1:3\", h", "ftp://x\", h", "50ms", "1ms").Replace(validSettings)
	_, findings := settings.Parse("f", []byte(invalid))
	is.Equal(len(findings), 4)
	is.Equal(findings[0].String(), `f:3: operators.listen: "localhost:1" is not an IP address with a port`)
	is.Equal(findings[1].Field, "platform.log")
	is.Equal(findings[2].Field, "operators.token_sha256")
	is.Equal(findings[3].String(), "f:6: timing.tick: at least 10ms is expected")
}
