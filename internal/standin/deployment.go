package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// Config configures the stand-ins of a deployment.
type Config struct {
	Platform  PlatformConfig   `yaml:"platform"`
	Endpoints []EndpointConfig `yaml:"endpoints"`
	// EntryHosts are added to the host list.
	EntryHosts []EntryHostConfig `yaml:"entry_hosts"`
}

// PlatformConfig configures the log, the weight store and the host list, which share one address.
type PlatformConfig struct {
	Listen         string        `yaml:"listen"`
	LoadsPerSecond float64       `yaml:"loads_per_second"`
	Concurrent     int           `yaml:"concurrent"`
	MBPerSecond    float64       `yaml:"mb_per_second"`
	ListLag        time.Duration `yaml:"list_lag"`
}

// EndpointConfig configures a model engine or plain service.
type EndpointConfig struct {
	Name          string        `yaml:"name"`
	Listen        string        `yaml:"listen"`
	Zone          string        `yaml:"availability_zone"`
	Pool          string        `yaml:"pool"`
	Service       string        `yaml:"service"`
	MemoryMB      int64         `yaml:"memory_mb"`
	ChecksFencing bool          `yaml:"checks_fencing"`
	FirstToken    time.Duration `yaml:"first_token"`
	PerToken      time.Duration `yaml:"per_token"`
}

// EntryHostConfig is an entry host in the host list.
type EntryHostConfig struct {
	Name string `yaml:"name"`
	Peer string `yaml:"peer"`
	Zone string `yaml:"availability_zone"`
}

// LoadConfig reads a configuration from a YAML file.
func LoadConfig(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, errors.Wrap(err, "read stand-in configuration")
	}
	c, found := ParseConfig(file, data)
	return c, found.Err()
}

// ParseConfig decodes a YAML configuration. file names the document in findings.
func ParseConfig(file string, data []byte) (Config, finding.List) {
	c := Config{Platform: PlatformConfig{LoadsPerSecond: 15, Concurrent: 4, MBPerSecond: 8000}}
	doc := yamlx.Decode(file, data, &c)
	return c, doc.Findings()
}

// Platform is a running log, weight store and host list.
type Platform struct {
	Log   *Log
	Store *Store
	Hosts *Hosts
	URL   string
	close func()
}

// StartPlatform starts an HTTP server for the log, the weight store and the host list.
func StartPlatform(c PlatformConfig, entryHosts []EntryHostConfig) (*Platform, error) {
	p := &Platform{
		Log:   NewLog(),
		Store: NewStore(external.StoreLimits{LoadsPerSecond: c.LoadsPerSecond, Concurrent: c.Concurrent}, c.MBPerSecond),
		Hosts: NewHosts(c.ListLag),
	}
	for _, e := range entryHosts {
		p.Hosts.Put(external.ListedHost{Name: e.Name, Kind: external.EntryHost, Addr: e.Peer, Zone: e.Zone})
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", p.Log.Handler())
	mux.Handle("/control/log", p.Log.Handler())
	mux.Handle("/control/log/", p.Log.Handler())
	mux.Handle("/v1/hosts", p.Hosts.Handler())
	mux.Handle("/v1/hosts/", p.Hosts.Handler())
	mux.Handle("/", p.Store.Handler())
	url, stop, err := listen(c.Listen, mux)
	p.URL, p.close = url, stop
	return p, err
}

// Close stops the server.
func (p *Platform) Close() { p.close() }

// listen starts an HTTP server and returns its URL and a function that stops it.
func listen(addr string, handler http.Handler) (string, func(), error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), func() { _ = server.Close() }, nil
}

// RunningEndpoint is an engine with an HTTP server and an entry in the host list.
type RunningEndpoint struct {
	*Engine
	URL     string
	listURL string
	listed  external.ListedHost
	stop    func()
}

// StartEndpoint starts an engine and adds it to the host list at platformURL.
func StartEndpoint(c EndpointConfig, platformURL string) (*RunningEndpoint, error) {
	engine := NewEngine(EngineConfig{
		MemoryMB:      c.MemoryMB,
		ChecksFencing: c.ChecksFencing,
		FirstToken:    c.FirstToken,
		PerToken:      c.PerToken,
		Fetch: func(ctx context.Context, memoryMB int64) error {
			return sendJSON(ctx, http.MethodPost, platformURL+"/v1/fetch", fetchRequest{memoryMB})
		},
	})
	url, stop, err := listen(c.Listen, engine.Handler())
	if err != nil {
		return nil, err
	}
	e := &RunningEndpoint{Engine: engine, URL: url, stop: stop, listURL: platformURL + "/v1/hosts/" + c.Name}
	e.listed = external.ListedHost{
		Name:          c.Name,
		Kind:          external.EndpointHost,
		Incarnation:   engine.Incarnation(),
		Addr:          url,
		Zone:          c.Zone,
		Pool:          c.Pool,
		Service:       c.Service,
		ChecksFencing: c.ChecksFencing,
	}
	return e, sendJSON(context.Background(), http.MethodPut, e.listURL, e.listed)
}

// MarkDraining marks the endpoint as draining in the host list.
func (e *RunningEndpoint) MarkDraining() error {
	e.listed.Draining = true
	return sendJSON(context.Background(), http.MethodPut, e.listURL, e.listed)
}

// Kill stops the endpoint without removing it from the host list.
func (e *RunningEndpoint) Kill() { e.stop() }

// Close removes the endpoint from the host list and stops it.
func (e *RunningEndpoint) Close() {
	_ = sendJSON(context.Background(), http.MethodDelete, e.listURL, nil)
	e.stop()
}

func sendJSON(ctx context.Context, method, url string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Newf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}
