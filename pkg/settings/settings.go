// Package settings loads and validates the YAML settings of an entry host.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// Settings are the settings of one entry host.
type Settings struct {
	// Host is the name of the entry host. It must be unique among running hosts.
	Host string `yaml:"host"`
	// Zone is the availability zone in which the host runs.
	Zone      string            `yaml:"availability_zone"`
	Callers   Listener          `yaml:"callers"`
	Operators Operators         `yaml:"operators"`
	Peers     Peers             `yaml:"peers"`
	Platform  Platform          `yaml:"platform"`
	Timing    Timing            `yaml:"timing"`
	Store     WeightStoreLimits `yaml:"weight_store"`
	// OTLP is the base URL of a trace collector. If empty, no traces are exported.
	OTLP string `yaml:"otlp"`
}

// Listener is the listener for client requests, an IP address with a port.
type Listener struct {
	Listen string `yaml:"listen"`
}

// Operators configures the listener of the operator API.
type Operators struct {
	Listen string `yaml:"listen"`
	// TokenSHA256 is the hex-encoded digest of the operators' bearer token. It may
	// be empty only if Listen is a loopback address.
	TokenSHA256 string `yaml:"token_sha256"`
}

// Peers configures the connections between entry hosts.
type Peers struct {
	Listen string `yaml:"listen"`
	// Advertise is the address that other hosts connect to. It defaults to Listen.
	Advertise string `yaml:"advertise"`
	CA        string `yaml:"ca_file"`
	Cert      string `yaml:"cert_file"`
	Key       string `yaml:"key_file"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log    string `yaml:"log"`
	Stream string `yaml:"stream"`
	Hosts  string `yaml:"host_list"`
	// WeightStore is the service that reports the limits of the weight store. If
	// empty, only the limits in weight_store apply.
	WeightStore string `yaml:"weight_store"`
}

// WeightStoreLimits limits the loads of each pool from the weight store. Lower limits that
// the store reports take precedence.
type WeightStoreLimits struct {
	Concurrent int     `yaml:"concurrent"`
	PerSecond  float64 `yaml:"per_second"`
}

// Timing holds all intervals and timeouts.
type Timing struct {
	// SessionRenew is the interval of the host's heartbeats in the log.
	SessionRenew time.Duration `yaml:"session_renew"`
	// SessionTTL is the time without a heartbeat after which a host loses its pools.
	SessionTTL time.Duration `yaml:"session_ttl"`
	// Tick is the interval of a pool owner's decisions and of usage reports.
	Tick time.Duration `yaml:"tick"`
	// HostListPoll is the interval of reading the host list, Probe that of status
	// calls to endpoints.
	HostListPoll time.Duration `yaml:"host_list_poll"`
	Probe        time.Duration `yaml:"probe"`
	// BatchInterval is the minimum interval between two records of idempotency keys.
	BatchInterval time.Duration `yaml:"batch_interval"`
	// ReadinessLag is how long a host that shuts down accepts new requests, until
	// the load balancer has seen that it is not ready.
	ReadinessLag time.Duration `yaml:"readiness_lag"`
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// SnapshotEvery is the number of log records between two snapshots.
	SnapshotEvery int `yaml:"snapshot_every"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Callers:   Listener{Listen: "127.0.0.1:7001"},
		Operators: Operators{Listen: "127.0.0.1:7101"},
		Peers:     Peers{Listen: "127.0.0.1:7201"},
		Platform:  Platform{Stream: "tealvane"},
		Timing: Timing{
			SessionRenew:  time.Second,
			SessionTTL:    4 * time.Second,
			Tick:          100 * time.Millisecond,
			HostListPoll:  500 * time.Millisecond,
			Probe:         500 * time.Millisecond,
			BatchInterval: 10 * time.Millisecond,
			ReadinessLag:  2 * time.Second,
			DrainTimeout:  10 * time.Minute,
			SnapshotEvery: 5000,
		},
		Store: WeightStoreLimits{Concurrent: 4, PerSecond: 8},
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, findings := Parse(file, data)
	return s, findings.Err()
}

// Parse decodes and validates settings. It returns all findings.
func Parse(file string, data []byte) (Settings, finding.List) {
	s := Default()
	doc := yamlx.Decode(file, data, &s)
	if len(doc.Findings()) == 0 {
		s.check(doc)
	}
	return s, doc.Findings()
}

func (s *Settings) check(doc *yamlx.Document) {
	if s.Host == "" {
		doc.Add("host", "a name is expected")
	}
	if s.Zone == "" {
		doc.Add("availability_zone", "a name is expected")
	}
	checkAddr(doc, "callers.listen", s.Callers.Listen)
	checkAddr(doc, "operators.listen", s.Operators.Listen)
	checkAddr(doc, "peers.listen", s.Peers.Listen)
	if s.Peers.Advertise != "" {
		checkAddr(doc, "peers.advertise", s.Peers.Advertise)
	}
	s.checkFiles(doc)
	checkURL(doc, "platform.log", s.Platform.Log)
	checkURL(doc, "platform.host_list", s.Platform.Hosts)
	if s.Platform.WeightStore != "" {
		checkURL(doc, "platform.weight_store", s.Platform.WeightStore)
	}
	if s.OTLP != "" {
		checkURL(doc, "otlp", s.OTLP)
	}
	if s.Operators.TokenSHA256 == "" && !isLoopback(s.Operators.Listen) {
		doc.Add("operators.token_sha256", "is required unless operators.listen is a loopback address")
	}
	s.Timing.check(doc)
	if s.Store.Concurrent < 1 || s.Store.PerSecond <= 0 {
		doc.Add("weight_store", "concurrent and per_second must be positive")
	}
}

func (s *Settings) checkFiles(doc *yamlx.Document) {
	for field, file := range map[string]string{
		"peers.ca_file":   s.Peers.CA,
		"peers.cert_file": s.Peers.Cert,
		"peers.key_file":  s.Peers.Key,
	} {
		if file == "" {
			doc.Add(field, "a file is expected: entry hosts authenticate each other with TLS")
		}
	}
}

func (t Timing) check(doc *yamlx.Document) {
	for _, p := range []struct {
		field   string
		value   time.Duration
		minimum time.Duration
	}{
		{"timing.session_renew", t.SessionRenew, 100 * time.Millisecond},
		{"timing.session_ttl", t.SessionTTL, 2 * t.SessionRenew},
		{"timing.tick", t.Tick, 10 * time.Millisecond},
		{"timing.host_list_poll", t.HostListPoll, 10 * time.Millisecond},
		{"timing.probe", t.Probe, 10 * time.Millisecond},
		{"timing.batch_interval", t.BatchInterval, 0},
		{"timing.readiness_lag", t.ReadinessLag, 0},
		{"timing.drain_timeout", t.DrainTimeout, time.Second},
	} {
		if p.value < p.minimum {
			doc.Add(p.field, "at least %s is expected", p.minimum)
		}
	}
	if t.SnapshotEvery < 100 {
		doc.Add("timing.snapshot_every", "at least 100 is expected")
	}
}

func checkAddr(doc *yamlx.Document, field, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		doc.Add(field, "%q is not an IP address with a port", addr)
	}
}

func checkURL(doc *yamlx.Document, field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		doc.Add(field, "%q is not an http or https URL", value)
	}
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && net.ParseIP(host).IsLoopback()
}

// TLS loads the host's certificate and the CA for connections to other hosts.
func (p Peers) TLS() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peers.cert_file, peers.key_file")
	}
	pem, err := os.ReadFile(p.CA)
	if err != nil {
		return nil, errors.Wrap(err, "peers.ca_file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("peers.ca_file: no certificate in %s", p.CA)
	}
	return peer.TLSConfig(cert, roots), nil
}
