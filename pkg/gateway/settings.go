package gateway

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/tealvane/tealvane/pkg/allowance"
	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/retry"
)

// Settings are the settings of one entry host on the platform. Fields that are
// not known are ignored: the platform may add some.
type Settings struct {
	// Host is the name of the host, unique among those that run.
	Host string `yaml:"host"`
	Zone string `yaml:"availability_zone"`
	// Listen holds addresses as IP number and port.
	Listen struct {
		Callers   string `yaml:"callers"`
		Readiness string `yaml:"readiness"`
		// Peers is a UDP address that other hosts reach.
		Peers string `yaml:"peers"`
		// Metrics may be empty.
		Metrics string `yaml:"metrics"`
	} `yaml:"listen"`
	Store struct {
		Address string `yaml:"address"`
	} `yaml:"store"`
	// OTLP is the base URL of a trace collector; empty exports no traces.
	OTLP   string `yaml:"otlp"`
	Limits struct {
		Cores int `yaml:"cores"`
		// CPUShare is the part of each core that the host gets; 0 if it is not stated.
		CPUShare float64 `yaml:"cpu_share"`
		MemoryMB int64   `yaml:"memory_mb"`
		// LinkMbps is the bandwidth of the host's link; 0 if it is not stated.
		LinkMbps float64 `yaml:"link_mbps"`
	} `yaml:"limits"`
	Timing struct {
		// Lease is the time within which two hosts must not give orders in turn.
		Lease time.Duration `yaml:"lease"`
		// Drain is how soon after an endpoint has announced its leaving it must
		// get no new requests.
		Drain time.Duration `yaml:"drain"`
		// Shutdown is how long a stopping host has until it is killed.
		Shutdown time.Duration `yaml:"shutdown"`
	} `yaml:"timing"`
	// Retry bounds retries over all hosts.
	Retry struct {
		Ratio  float64       `yaml:"ratio"`
		Extra  float64       `yaml:"extra"`
		Window time.Duration `yaml:"window"`
	} `yaml:"retry"`
	Allowances struct {
		// All hosts together may let through of an account the part Over of its allowance and
		// Slack units more in any span of Window; 0 where nothing is stated.
		Over   float64       `yaml:"over"`
		Slack  float64       `yaml:"slack"`
		Window time.Duration `yaml:"window"`
	} `yaml:"allowances"`
	Orders struct {
		// EndpointsCheckTokens tells whether endpoints refuse old fencing tokens.
		EndpointsCheckTokens bool `yaml:"endpoints_check_tokens"`
	} `yaml:"orders"`
}

// cores is the processor that the host gets, 0 if it is not stated.
func (s Settings) cores() float64 { return float64(s.Limits.Cores) * s.Limits.CPUShare }

func (s Settings) retryLimits() retry.Limits {
	return retry.Limits{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, Window: s.Retry.Window}
}

func (s Settings) tolerance() allowance.Tolerance {
	return allowance.Tolerance{Over: s.Allowances.Over, Slack: s.Allowances.Slack, Window: s.Allowances.Window}
}

// LoadSettings reads and checks a settings file. All findings come at once.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings decodes and checks settings; file names them in findings.
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
	if s.Limits.LinkMbps < 0 {
		c.add("limits.link_mbps", "must not be negative")
	}
	if s.Limits.CPUShare < 0 || s.Limits.CPUShare > 1 {
		c.add("limits.cpu_share", "must be a part between 0 and 1")
	}
	c.positive("timing.lease", s.Timing.Lease)
	c.positive("timing.drain", s.Timing.Drain)
	c.positive("timing.shutdown", s.Timing.Shutdown)
	c.positive("retry.window", s.Retry.Window)
	if s.Retry.Ratio < 0 || s.Retry.Extra < 0 {
		c.add("retry", "ratio and extra must not be negative")
	}
	if s.Allowances.Over < 0 || s.Allowances.Slack < 0 || s.Allowances.Window < 0 {
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
		c.add(field, "needs an IP number and a port")
	}
}

func (c *checker) positive(field string, d time.Duration) {
	if d <= 0 {
		c.add(field, "must be a positive duration such as 2s")
	}
}

// Reload takes in settings that were read again. Addresses and limits hold for
// the life of a process; a change of them is named in the log.
func (g *Gateway) Reload(s Settings, err error) {
	if err != nil {
		g.log.Error("settings are not valid; the former ones stay", "error", err.Error())
		return
	}
	g.log.Info("reload", "changed", s != g.settings)
}
