package fleet

import (
	"slices"
	"strconv"
	"strings"
)

// EndpointID identifies one incarnation of an endpoint by its name in the list and, if the
// endpoint states it, its start time. An endpoint may restart under the same name. The new
// incarnation holds no models, runs no requests and restarts its order sequence, so that state
// kept by EndpointID does not outlive the incarnation.
type EndpointID string

// incarnationSeparator separates the name of an endpoint from its start time.
const incarnationSeparator = "@"

// NewEndpointID returns the ID of an incarnation. startMillis is its start time in Unix
// milliseconds, 0 if the endpoint does not state it.
func NewEndpointID(name string, startMillis int64) EndpointID {
	if startMillis == 0 && !strings.Contains(name, incarnationSeparator) {
		return EndpointID(name)
	}
	return EndpointID(name + incarnationSeparator + strconv.FormatInt(startMillis, 10))
}

// Name returns the name that all incarnations of the endpoint share.
func (id EndpointID) Name() string {
	if i := strings.LastIndex(string(id), incarnationSeparator); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

// StartMillis returns the start time of the incarnation in Unix milliseconds, 0 if unknown.
func (id EndpointID) StartMillis() int64 {
	i := strings.LastIndex(string(id), incarnationSeparator)
	startMillis, err := strconv.ParseInt(string(id[i+1:]), 10, 64)
	if i < 0 || err != nil {
		return 0
	}
	return startMillis
}

// Endpoint is the state of an endpoint as last written to the platform's list.
type Endpoint struct {
	ID      EndpointID
	Service string
	// Addr is the IP address and port. Another endpoint may reuse it after this one has
	// terminated.
	Addr string
	Zone string
	// Version is the version of its software, an opaque string.
	Version string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Draining endpoints take no new requests.
	Draining bool
	// Unreadable is set if the newest entry of the endpoint cannot be decoded, for example
	// because another writer wrote it. Only the ID is valid then.
	Unreadable bool
	Loaded     []LoadedModel
	// InMemory and OnDisk list the models of which the endpoint keeps a copy.
	InMemory []string
	OnDisk   []string
}

// LoadedModel is a model that an endpoint has loaded.
type LoadedModel struct {
	Model    string
	Adapters []string
}

// TakesRequests reports whether new requests may be sent to the endpoint.
func (e Endpoint) TakesRequests() bool { return !e.Draining && !e.Unreadable }

// hasCopy reports whether the endpoint can load a model without the weight store.
func (e Endpoint) hasCopy(model string) bool {
	return slices.Contains(e.InMemory, model) || slices.Contains(e.OnDisk, model)
}

// Report is the response of an endpoint to a status call. It may lag behind the actual state.
type Report struct {
	Loaded []LoadedModel
	// Loading lists the adapters that are being loaded, as MODEL/NAME.
	Loading []string
	// Busy is set while the endpoint executes an order.
	Busy bool
	// Sequence is the number of orders that the endpoint has accepted.
	Sequence int64
}

// Load is the number of requests at an endpoint, as stated in its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkTimePercent is how long work takes at the endpoint's machine at the moment, 100 as
	// usual. WorkTimeStated reports whether the endpoint stated it.
	WorkTimePercent int
	WorkTimeStated  bool
}
