package gateway

import (
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/tealvane/tealvane/pkg/allowance"
	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/wfq"
)

// Settings are the settings of an entry host. Unknown fields are ignored, since the platform
// may add some.
type Settings struct {
	// Host is the name of the host, unique among running hosts.
	Host string `yaml:"host"`
	Zone string `yaml:"availability_zone"`
	// Listen holds addresses in the form IP:port.
	Listen struct {
		Callers   string `yaml:"callers"`
		Readiness string `yaml:"readiness"`
		// Peers is the UDP address that other hosts connect to.
		Peers string `yaml:"peers"`
		// Metrics is optional.
		Metrics string `yaml:"metrics"`
	} `yaml:"listen"`
	Store struct {
		Address string `yaml:"address"`
		// ReadMBPerSecond is what the store answers to the reads of all hosts together, in MB a second,
		// or 0 if unknown.
		ReadMBPerSecond float64 `yaml:"read_mb_per_second"`
	} `yaml:"store"`
	// OTLP is the base URL of a trace collector. Traces are not exported if it is empty.
	OTLP   string `yaml:"otlp"`
	Limits struct {
		Cores int `yaml:"cores"`
		// CPUShare is the fraction of each core available to the host, or 0 if unknown.
		CPUShare float64 `yaml:"cpu_share"`
		MemoryMB int64   `yaml:"memory_mb"`
		// LinkMbps is the bandwidth of the host's network link, or 0 if unknown.
		LinkMbps float64 `yaml:"link_mbps"`
	} `yaml:"limits"`
	Timing struct {
		// Lease is the period within which two hosts must not issue orders alternately.
		Lease time.Duration `yaml:"lease"`
		// Drain is the time after an endpoint announces that it is draining within which it must
		// stop receiving new requests.
		Drain time.Duration `yaml:"drain"`
		// EndpointHeartbeat is about how often an endpoint writes its entry of the list.
		EndpointHeartbeat time.Duration `yaml:"endpoint_heartbeat"`
		// Shutdown is the time from the stop signal until the host is killed.
		Shutdown time.Duration `yaml:"shutdown"`
	} `yaml:"timing"`
	// Retry bounds retries over all hosts.
	Retry struct {
		Ratio  float64       `yaml:"ratio"`
		Extra  float64       `yaml:"extra"`
		Window time.Duration `yaml:"window"`
	} `yaml:"retry"`
	Allowances struct {
		// All hosts together may admit, for one account, up to the fraction Excess and Slack
		// units more than its allowance in any span of Window. 0 means not configured.
		Excess float64       `yaml:"over"`
		Slack  float64       `yaml:"slack"`
		Window time.Duration `yaml:"window"`
	} `yaml:"allowances"`
	Scheduling struct {
		// Contention is when requests are scheduled for contention: auto (the default), on or
		// off.
		Contention ContentionMode `yaml:"contention"`
		// AccountWeights holds the weights of client accounts by name under contention. Accounts
		// that it does not name have weight 1.
		AccountWeights map[string]float64 `yaml:"account_weights"`
	} `yaml:"scheduling"`
	Endpoints struct {
		// ViaPeers allows requests to be sent to endpoints by way of another host while this host's
		// own connections to them fail.
		ViaPeers bool `yaml:"via_peers"`
	} `yaml:"endpoints"`
	Orders struct {
		// EndpointsCheckTokens reports whether endpoints reject old fencing tokens.
		EndpointsCheckTokens bool `yaml:"endpoints_check_tokens"`
	} `yaml:"orders"`
}

// cores returns the host's CPU capacity in cores, or 0 if not configured.
func (s Settings) cores() float64 { return float64(s.Limits.Cores) * s.Limits.CPUShare }

// AccountWeight returns the weight of a client account under contention.
func (s Settings) AccountWeight(account string) float64 {
	if w, ok := s.Scheduling.AccountWeights[account]; ok {
		return w
	}
	return 1
}

func (s Settings) retryLimits() retry.Limits {
	return retry.Limits{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, Window: s.Retry.Window}
}

func (s Settings) tolerance() allowance.Tolerance {
	return allowance.Tolerance{Excess: s.Allowances.Excess, Slack: s.Allowances.Slack, Window: s.Allowances.Window}
}

// LoadSettings reads and validates a settings file. It reports all findings together.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings decodes and validates settings. Findings refer to file.
func ParseSettings(file string, data []byte) (Settings, error) {
	var s Settings
	if err := yaml.Unmarshal(data, &s); err != nil {
		return s, errors.Wrap(err, file)
	}
	c := checker{file: file}
	c.required("host", s.Host)
	c.required("availability_zone", s.Zone)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.readiness", s.Listen.Readiness)
	c.address("listen.peers", s.Listen.Peers)
	if s.Listen.Metrics != "" {
		c.address("listen.metrics", s.Listen.Metrics)
	}
	c.address("store.address", s.Store.Address)
	if s.Store.ReadMBPerSecond < 0 {
		c.add("store.read_mb_per_second", "must not be negative")
	}
	if s.Limits.LinkMbps < 0 {
		c.add("limits.link_mbps", "must not be negative")
	}
	if s.Limits.CPUShare < 0 || s.Limits.CPUShare > 1 {
		c.add("limits.cpu_share", "must be a fraction between 0 and 1")
	}
	c.positive("timing.lease", s.Timing.Lease)
	c.positive("timing.drain", s.Timing.Drain)
	c.positive("timing.shutdown", s.Timing.Shutdown)
	if s.Timing.EndpointHeartbeat < 0 {
		c.add("timing.endpoint_heartbeat", "must not be negative")
	}
	c.positive("retry.window", s.Retry.Window)
	if s.Retry.Ratio < 0 || s.Retry.Extra < 0 {
		c.add("retry", "ratio and extra must not be negative")
	}
	if !s.Scheduling.Contention.valid() {
		c.add("scheduling.contention", "must be auto, on or off")
	}
	for _, account := range slices.Sorted(maps.Keys(s.Scheduling.AccountWeights)) {
		if !wfq.ValidWeight(s.Scheduling.AccountWeights[account]) {
			c.add("scheduling.account_weights."+account, fmt.Sprintf("must be a number from %g to %g", wfq.MinWeight, wfq.MaxWeight))
		}
	}
	if s.Allowances.Excess < 0 || s.Allowances.Slack < 0 || s.Allowances.Window < 0 {
		c.add("allowances", "over, slack and window must not be negative")
	}
	return s, c.found.Err()
}

type checker struct {
	file  string
	found finding.List
}

func (c *checker) add(field, message string) {
	c.found = append(c.found, finding.Finding{File: c.file, Field: field, Message: message})
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.add(field, "is missing")
	}
}

func (c *checker) address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	switch {
	case value == "":
		c.add(field, "is missing")
	case err != nil:
		c.add(field, err.Error())
	case net.ParseIP(host) == nil:
		c.add(field, "must be an IP address with a port")
	}
}

func (c *checker) positive(field string, d time.Duration) {
	if d <= 0 {
		c.add(field, "must be a positive duration such as 2s")
	}
}

// Reload validates changed settings. Settings apply only at the start of a process, so a change
// is only logged.
func (g *Gateway) Reload(s Settings, err error) {
	if err != nil {
		g.log.Error("invalid settings; keeping the current ones", "error", err.Error())
		return
	}
	g.log.Info("settings read again; changes apply at the next start", "changed", !reflect.DeepEqual(s, g.settings))
}
