package fleet

import "time"

// Notice tells the other hosts what the controller believes of endpoints.
type Notice struct {
	// Holder names the controller; Token is the fencing token of its claim.
	Holder string `cbor:"1,keyasint"`
	Token  int64  `cbor:"2,keyasint"`
	// Full notices name all endpoints, others only those that changed.
	Full      bool        `cbor:"3,keyasint,omitempty"`
	Endpoints []Placement `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the controller knows.
	ConfigVersion int64 `cbor:"5,keyasint,omitempty"`
	// ListChange is the offset of the newest entry of the list of endpoints that
	// changed which of them take requests, ListAge how many milliseconds ago the
	// controller read the list.
	ListChange int64 `cbor:"6,keyasint,omitempty"`
	ListAge    int64 `cbor:"7,keyasint,omitempty"`
	// Incarnation and Addr are the controller's own. A host whose read of the claims
	// hangs learns from them whom to tell its demand.
	Incarnation string `cbor:"8,keyasint,omitempty"`
	Addr        string `cbor:"9,keyasint,omitempty"`
	// ListEntries are the newest entries of the endpoints that came, announced their
	// leaving or went after the offset ListSince, as they stand in the store.
	ListEntries []Entry `cbor:"11,keyasint,omitempty"`
	ListSince   int64   `cbor:"12,keyasint,omitempty"`
	// StoreBackAgo is how many milliseconds ago the controller found the store back
	// after an outage; 0 if that is long ago or was not.
	StoreBackAgo int64 `cbor:"13,keyasint,omitempty"`
	// Far names all models that are asked for and have no copy at any endpoint. It is
	// left out where it is what the host knows (FarKnown).
	Far      []FarModel `cbor:"10,keyasint,omitempty"`
	FarKnown bool       `cbor:"14,keyasint,omitempty"`
	// StoreLoads is how many loads from the weight store run at full speed, as far as
	// the controller has learned.
	StoreLoads int `cbor:"21,keyasint,omitempty"`
	// Source is the incarnation of the host that answers and Version that of what it
	// tells, so that the next question names what is known.
	Source  string `cbor:"15,keyasint,omitempty"`
	Version int64  `cbor:"16,keyasint,omitempty"`
	// HeardAgo is how many milliseconds ago the answering host has heard the controller;
	// Stamp is the newest of the controller's own time stamps that it has heard.
	HeardAgo int64 `cbor:"17,keyasint,omitempty"`
	Stamp    int64 `cbor:"18,keyasint,omitempty"`
	// Hosts are the newest entries of hosts since the offset that the question named,
	// complete up to HostsNext.
	Hosts     []Entry `cbor:"19,keyasint,omitempty"`
	HostsNext int64   `cbor:"20,keyasint,omitempty"`
	// BlocksSum is the sum over all blocks that the answering host knows; Blocks are these, if
	// the asker does not know the same.
	BlocksSum uint64  `cbor:"22,keyasint,omitempty"`
	Blocks    []Block `cbor:"23,keyasint,omitempty"`
	// Accounts are the client accounts near their limits, as of HeardAgo.
	Accounts AccountLevels `cbor:"24,keyasint"`
	// SignalsSum is the sum over all signals of endpoints that the answering host knows;
	// Signals are these, if the asker does not know the same.
	SignalsSum uint64           `cbor:"25,keyasint,omitempty"`
	Signals    []EndpointSignal `cbor:"26,keyasint,omitempty"`
}

// Pull is a host's question for what has changed, with what its requests need.
type Pull struct {
	// Demand is that of the asking host and of all that ask it.
	Demand DemandReport `cbor:"1,keyasint"`
	// Source, Token and Version are those of the last answer that was taken in.
	Source  string `cbor:"2,keyasint,omitempty"`
	Token   int64  `cbor:"3,keyasint,omitempty"`
	Version int64  `cbor:"4,keyasint,omitempty"`
	// ListNext is the offset up to which the host knows the list of endpoints.
	// HostsNext is the same for the entries of hosts.
	ListNext  int64 `cbor:"5,keyasint,omitempty"`
	HostsNext int64 `cbor:"8,keyasint,omitempty"`
	// Heard is what the asking host has heard of the controller, Below what those
	// have that ask it, where endpoints do not check fencing tokens.
	Heard Heard   `cbor:"6,keyasint"`
	Below []Heard `cbor:"7,keyasint,omitempty"`
	// Crashes are those that the host that is asked has not been told yet, of the asking
	// host and of those that ask it.
	Crashes []Crash `cbor:"9,keyasint,omitempty"`
	// BlocksSum is the sum over all blocks that the asking host knows; Blocks are these, if
	// the host that is asked did not know the same.
	BlocksSum uint64  `cbor:"10,keyasint,omitempty"`
	Blocks    []Block `cbor:"11,keyasint,omitempty"`
	// Accounts are what is asked of the asking host and of those that ask it, nil where
	// that was told a moment ago. Rising tells that one asks for much more than before, Brief
	// that the host asks in place of a relay, which will tell for it again.
	Accounts []AccountUse `cbor:"12,keyasint,omitempty"`
	Rising   bool         `cbor:"13,keyasint,omitempty"`
	Brief    bool         `cbor:"14,keyasint,omitempty"`
	// SignalsSum is the sum over all signals of endpoints that the asking host knows; Signals
	// are these, if the host that is asked did not know the same.
	SignalsSum uint64           `cbor:"15,keyasint,omitempty"`
	Signals    []EndpointSignal `cbor:"16,keyasint,omitempty"`
}

// Heard is a host's last sign of life of a controller.
type Heard struct {
	Host string `cbor:"1,keyasint"`
	// Token is that of the newest claim known there, Stamp the newest time stamp of
	// its holder that was heard.
	Token int64 `cbor:"2,keyasint,omitempty"`
	Stamp int64 `cbor:"3,keyasint,omitempty"`
	// StoreAge is how many milliseconds ago the store answered that host.
	StoreAge int64 `cbor:"4,keyasint,omitempty"`
}

// FarModel is a model that has to come from the weight store.
type FarModel struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	// ReadyIn is in how many milliseconds it can serve at best.
	ReadyIn int64 `cbor:"3,keyasint"`
}

// Placement is what one endpoint holds.
type Placement struct {
	Endpoint EndpointID       `cbor:"1,keyasint"`
	Models   []ModelPlacement `cbor:"2,keyasint,omitempty"`
}

// ModelPlacement is a model on an endpoint.
type ModelPlacement struct {
	Model string `cbor:"1,keyasint"`
	// ReadyIn is in how many milliseconds the model serves; 0 if it does.
	ReadyIn int64 `cbor:"2,keyasint,omitempty"`
	// Leaving models take no new requests.
	Leaving  bool     `cbor:"3,keyasint,omitempty"`
	Adapters []string `cbor:"4,keyasint,omitempty"`
}

// DemandReport tells the controller what one host's requests need.
type DemandReport struct {
	Host        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Needs       []NeedReport `cbor:"3,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the host knows.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// Addr is where the host answers messages.
	Addr string `cbor:"5,keyasint,omitempty"`
	// Unreachable names the endpoints that the host could not connect to lately.
	Unreachable []EndpointID `cbor:"6,keyasint,omitempty"`
	// Pausing names the endpoints that have asked the host for a pause.
	Pausing []EndpointID `cbor:"9,keyasint,omitempty"`
	// Seq counts the reports of an incarnation: an older one that comes late is void.
	Seq int64 `cbor:"7,keyasint,omitempty"`
	// Same reports name no needs: those of the last one hold on.
	Same bool `cbor:"8,keyasint,omitempty"`
}

// Waiting names the models for which requests wait.
func (r DemandReport) Waiting() map[ModelRef]bool {
	out := map[ModelRef]bool{}
	for _, n := range r.Needs {
		if n.Waiting > 0 {
			out[ModelRef{n.Service, n.Model}] = true
		}
	}
	return out
}

// NeedReport is the demand for one model, or for one adapter of it.
type NeedReport struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint,omitempty"`
	Waiting int    `cbor:"4,keyasint,omitempty"`
	// DueIn is in how many milliseconds the lack of the model begins to cost.
	DueIn    int64 `cbor:"5,keyasint,omitempty"`
	Inflight int   `cbor:"6,keyasint,omitempty"`
	Arrived  int   `cbor:"7,keyasint,omitempty"`
	Priority int   `cbor:"8,keyasint,omitempty"`
	// InTime is how many of the waiting requests can still begin in time; DueIn is
	// then that of the first of these.
	InTime int `cbor:"9,keyasint,omitempty"`
	// Starting is for how many milliseconds requests have waited at endpoints for the
	// first part of their answers, summed, since the last report.
	Starting int64 `cbor:"10,keyasint,omitempty"`
}

// Plus adds what another host reports of the same need.
func (n NeedReport) Plus(o NeedReport) NeedReport {
	if dueFirst(o, n) {
		n.DueIn = o.DueIn
	}
	n.Priority = min(n.Priority, o.Priority)
	n.Waiting += o.Waiting
	n.InTime += o.InTime
	n.Inflight += o.Inflight
	n.Arrived += o.Arrived
	n.Starting += o.Starting
	return n
}

// dueFirst tells whether what waits in one report is due before what waits in the
// other: requests that can be in time go before those that are late.
func dueFirst(a, b NeedReport) bool {
	switch {
	case a.Waiting == 0:
		return false
	case b.Waiting == 0:
		return true
	case (a.InTime > 0) != (b.InTime > 0):
		return a.InTime > 0
	default:
		return a.DueIn < b.DueIn
	}
}

// Due returns the time that DueIn meant when the report came.
func (n NeedReport) Due(now time.Time) time.Time {
	return now.Add(time.Duration(n.DueIn) * time.Millisecond)
}
