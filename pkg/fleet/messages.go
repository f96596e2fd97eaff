package fleet

import "time"

// Notice carries the controller's view of the endpoints to other hosts, in response to a Pull.
// Hosts may relay it.
type Notice struct {
	// Holder is the name of the controller; Token is the fencing token of its claim.
	Holder string `cbor:"1,keyasint"`
	Token  int64  `cbor:"2,keyasint"`
	// Full notices list all endpoints, others only those that have changed.
	Full      bool        `cbor:"3,keyasint,omitempty"`
	Endpoints []Placement `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the configuration version known to the controller.
	ConfigVersion int64 `cbor:"5,keyasint,omitempty"`
	// ListChange is the offset of the newest list entry that changed which endpoints take
	// requests. ListAge is the time in milliseconds since the controller read the list.
	ListChange Position `cbor:"6,keyasint,omitempty"`
	ListAge    int64    `cbor:"7,keyasint,omitempty"`
	// Incarnation and Addr identify the controller, for hosts that cannot read the claims from
	// the store.
	Incarnation string `cbor:"8,keyasint,omitempty"`
	Addr        string `cbor:"9,keyasint,omitempty"`
	// ListEntries holds, as stored, the newest entries of the endpoints that were added,
	// started draining or were removed after the offset ListSince.
	ListEntries []Entry  `cbor:"11,keyasint,omitempty"`
	ListSince   Position `cbor:"12,keyasint,omitempty"`
	// StoreRestoredAgo is the time in milliseconds since the controller saw the end of a store
	// outage; 0 if there was none recently.
	StoreRestoredAgo int64 `cbor:"13,keyasint,omitempty"`
	// Cold lists all requested models without a copy on any endpoint. It is omitted if the
	// receiver already knows the list (ColdUnchanged).
	Cold          []ColdModel `cbor:"10,keyasint,omitempty"`
	ColdUnchanged bool        `cbor:"14,keyasint,omitempty"`
	// StoreLoadLimit is how many loads from the weight store can run at full speed, as learned by
	// the controller.
	StoreLoadLimit int `cbor:"21,keyasint,omitempty"`
	// Source is the incarnation of the responding host and Version the version of its state.
	// The next Pull returns both.
	Source  string `cbor:"15,keyasint,omitempty"`
	Version int64  `cbor:"16,keyasint,omitempty"`
	// HeartbeatAge is the time in milliseconds since the responding host received a heartbeat of the
	// controller. Stamp is the newest controller timestamp that it has received.
	HeartbeatAge int64 `cbor:"17,keyasint,omitempty"`
	Stamp        int64 `cbor:"18,keyasint,omitempty"`
	// Hosts holds the newest host entries since the offset in the Pull, complete up to
	// HostsNext. HostsMore is set if entries after it are left for the next Pull.
	Hosts     []Entry  `cbor:"19,keyasint,omitempty"`
	HostsNext Position `cbor:"20,keyasint,omitempty"`
	HostsMore bool     `cbor:"28,keyasint,omitempty"`
	// BlocksChecksum is the checksum over all blocks known to the responding host. Blocks holds
	// these blocks if the checksum in the Pull differs.
	BlocksChecksum uint64  `cbor:"22,keyasint,omitempty"`
	Blocks         []Block `cbor:"23,keyasint,omitempty"`
	// StoreEra is the newest era of the store that the responding host knows, 0 if unknown.
	StoreEra int64 `cbor:"27,keyasint,omitempty"`
	// Accounts lists the client accounts near their limits, as of HeartbeatAge.
	Accounts AccountLevels `cbor:"24,keyasint"`
	// SignalsChecksum is the checksum over all endpoint signals known to the responding host.
	// Signals holds them if the checksum in the Pull differs.
	SignalsChecksum uint64           `cbor:"25,keyasint,omitempty"`
	Signals         []EndpointSignal `cbor:"26,keyasint,omitempty"`
	// BrittleChecksum is the checksum over all services known to the responding host whose endpoints are or
	// were brittle. Brittle holds them if the checksum in the Pull differs.
	BrittleChecksum uint64           `cbor:"31,keyasint,omitempty"`
	Brittle         []BrittleService `cbor:"32,keyasint,omitempty"`
	// Occupancy is the newest view of the endpoints' occupancy, nil if the receiver has it already or
	// there is none.
	Occupancy *Occupancy `cbor:"29,keyasint,omitempty"`
	// Levels limits the requests for models whose replicas cannot take the demand, as of
	// HeartbeatAge. It is nil if the controller schedules no service for contention.
	Levels *Levels `cbor:"30,keyasint,omitempty"`
}

// Pull reports the demand of a host and requests the changes since its last Notice.
type Pull struct {
	// Demand is the demand of the requesting host and of all hosts that pull from it.
	Demand DemandReport `cbor:"1,keyasint"`
	// Source, Token and Version are those of the last Notice applied.
	Source  string `cbor:"2,keyasint,omitempty"`
	Token   int64  `cbor:"3,keyasint,omitempty"`
	Version int64  `cbor:"4,keyasint,omitempty"`
	// ListNext and HostsNext are the offsets up to which the host knows the endpoint list and
	// the host entries.
	ListNext  Position `cbor:"5,keyasint,omitempty"`
	HostsNext Position `cbor:"8,keyasint,omitempty"`
	// Heartbeat is the last controller heartbeat that the requesting host has received.
	// DownstreamHeartbeats holds those of the hosts that pull from it; it is set only if
	// endpoints do not check fencing tokens.
	Heartbeat            ControllerHeartbeat   `cbor:"6,keyasint"`
	DownstreamHeartbeats []ControllerHeartbeat `cbor:"7,keyasint,omitempty"`
	// Crashes lists the crashes, seen by the requesting host and by the hosts that pull from
	// it, that have not been sent to the responding host yet.
	Crashes []CrashReport `cbor:"9,keyasint,omitempty"`
	// PartCrashes are those crashes whose reports name a prompt part. Hosts of former versions would take them
	// for crashes of a content, and ignore this field.
	PartCrashes []CrashReport `cbor:"17,keyasint,omitempty"`
	// BlocksChecksum is the checksum over all blocks known to the requesting host. Blocks holds
	// these blocks if the responding host's last checksum differed.
	BlocksChecksum uint64  `cbor:"10,keyasint,omitempty"`
	Blocks         []Block `cbor:"11,keyasint,omitempty"`
	// Accounts is the usage at the requesting host and at the hosts that pull from it; nil if
	// it has just been reported. Rising is set if the usage of an account has increased
	// sharply. ViaFallback is set if the host pulls from the controller because its relays are
	// down; a relay will report the same usage again.
	Accounts    []AccountUsage `cbor:"12,keyasint,omitempty"`
	Rising      bool           `cbor:"13,keyasint,omitempty"`
	ViaFallback bool           `cbor:"14,keyasint,omitempty"`
	// SignalsChecksum is the checksum over all endpoint signals known to the requesting host.
	// Signals holds them if the responding host's last checksum differed.
	SignalsChecksum uint64           `cbor:"15,keyasint,omitempty"`
	Signals         []EndpointSignal `cbor:"16,keyasint,omitempty"`
	// BrittleChecksum is the checksum over all services known to the requesting host whose endpoints are or
	// were brittle. Brittle holds them if the responding host's last checksum differed.
	BrittleChecksum uint64           `cbor:"18,keyasint,omitempty"`
	Brittle         []BrittleService `cbor:"19,keyasint,omitempty"`
}

// ControllerHeartbeat is the last heartbeat of a controller that a host has received.
type ControllerHeartbeat struct {
	Host string `cbor:"1,keyasint"`
	// Token is the fencing token of the newest claim known to the host. Stamp is the newest
	// timestamp received from its holder.
	Token int64 `cbor:"2,keyasint,omitempty"`
	Stamp int64 `cbor:"3,keyasint,omitempty"`
	// StoreAge is the time in milliseconds since the store last answered the host's read of the claims.
	StoreAge int64 `cbor:"4,keyasint,omitempty"`
}

// ColdModel is a model without a copy on any endpoint, which must be loaded from the weight
// store.
type ColdModel struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	// ReadyIn is the minimum time in milliseconds until the model can serve.
	ReadyIn int64 `cbor:"3,keyasint"`
}

// Placement lists the models on one endpoint.
type Placement struct {
	Endpoint EndpointID       `cbor:"1,keyasint"`
	Models   []ModelPlacement `cbor:"2,keyasint,omitempty"`
}

// ModelPlacement is the state of a model on an endpoint.
type ModelPlacement struct {
	Model string `cbor:"1,keyasint"`
	// ReadyIn is the time in milliseconds until the model can serve; 0 if it is ready.
	ReadyIn int64 `cbor:"2,keyasint,omitempty"`
	// Unloading models take no new requests.
	Unloading bool     `cbor:"3,keyasint,omitempty"`
	Adapters  []string `cbor:"4,keyasint,omitempty"`
}

// DemandReport is the demand at one host.
type DemandReport struct {
	Host        string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Needs       []NeedReport `cbor:"3,keyasint,omitempty"`
	// ConfigVersion is the configuration version known to the host.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// Addr is the address at which the host receives peer messages.
	Addr string `cbor:"5,keyasint,omitempty"`
	// Unreachable lists the endpoints to which the host recently failed to connect.
	Unreachable []EndpointID `cbor:"6,keyasint,omitempty"`
	// BackoffRequested lists the endpoints that have asked the host to back off.
	BackoffRequested []EndpointID `cbor:"9,keyasint,omitempty"`
	// Seq numbers the reports of an incarnation; a report older than the last one received is
	// ignored.
	Seq int64 `cbor:"7,keyasint,omitempty"`
	// Unchanged means that the needs of the previous report still apply; Needs is then empty.
	Unchanged bool `cbor:"8,keyasint,omitempty"`
	// EndpointLoads is nil if no service is scheduled for contention.
	EndpointLoads *EndpointLoads `cbor:"10,keyasint,omitempty"`
}

// Waiting returns the models with waiting requests.
func (r DemandReport) Waiting() map[ModelRef]bool {
	out := map[ModelRef]bool{}
	for _, n := range r.Needs {
		if n.Waiting > 0 {
			out[ModelRef{n.Service, n.Model}] = true
		}
	}
	return out
}

// NeedReport is the demand for one model, or for one of its adapters.
type NeedReport struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint,omitempty"`
	Waiting int    `cbor:"4,keyasint,omitempty"`
	// DueIn is the time in milliseconds until waiting requests start to miss their objective.
	DueIn    int64 `cbor:"5,keyasint,omitempty"`
	Inflight int   `cbor:"6,keyasint,omitempty"`
	Arrived  int   `cbor:"7,keyasint,omitempty"`
	Priority int   `cbor:"8,keyasint,omitempty"`
	// OnTime is the number of waiting requests that can still meet their objective. If it is
	// not 0, DueIn refers to these requests only.
	OnTime int `cbor:"9,keyasint,omitempty"`
	// FirstByteWait is the total time in milliseconds that requests have waited at endpoints for
	// the first part of their response since the last report.
	FirstByteWait int64 `cbor:"10,keyasint,omitempty"`
	// Completed and Rejected count the requests that endpoints have completed and rejected as
	// full since the last report. Flows splits Arrived, for models with a level only. They are
	// reported only for services that are scheduled for contention.
	Completed int    `cbor:"11,keyasint,omitempty"`
	Rejected  int    `cbor:"12,keyasint,omitempty"`
	Flows     []Flow `cbor:"13,keyasint,omitempty"`
	// Version is the software version that waiting requests for an adapter require of the endpoint that loads
	// it. Hosts of former versions ignore it.
	Version VersionRequirement `cbor:"14,keyasint,omitzero"`
}

// Counts returns only the events of a report that are passed on once, such as arrivals, and whether
// there are any.
func (n NeedReport) Counts() (NeedReport, bool) {
	counts := NeedReport{Priority: n.Priority, Arrived: n.Arrived, FirstByteWait: n.FirstByteWait, Completed: n.Completed, Rejected: n.Rejected, Flows: n.Flows}
	return counts, n.Arrived > 0 || n.FirstByteWait > 0 || n.Completed > 0 || n.Rejected > 0 || len(n.Flows) > 0
}

// WithoutCounts returns the report without the events that are passed on once.
func (n NeedReport) WithoutCounts() NeedReport {
	n.Arrived, n.FirstByteWait, n.Completed, n.Rejected, n.Flows = 0, 0, 0, 0, nil
	return n
}

// Add returns the sum of two reports of the same need.
func (n NeedReport) Add(o NeedReport) NeedReport {
	if dueBefore(o, n) {
		n.DueIn = o.DueIn
	}
	n.Priority = min(n.Priority, o.Priority)
	n.Waiting += o.Waiting
	n.OnTime += o.OnTime
	n.Inflight += o.Inflight
	n.Arrived += o.Arrived
	n.FirstByteWait += o.FirstByteWait
	n.Completed += o.Completed
	n.Rejected += o.Rejected
	n.Flows = AddFlows(n.Flows, o.Flows)
	return n
}

// dueBefore reports whether the waiting requests of a are due before those of b. Requests that
// can still meet their objective come before late ones.
func dueBefore(a, b NeedReport) bool {
	switch {
	case a.Waiting == 0:
		return false
	case b.Waiting == 0:
		return true
	case (a.OnTime > 0) != (b.OnTime > 0):
		return a.OnTime > 0
	default:
		return a.DueIn < b.DueIn
	}
}

// Due returns the time that DueIn denotes, given when the report was received.
func (n NeedReport) Due(now time.Time) time.Time {
	return now.Add(time.Duration(n.DueIn) * time.Millisecond)
}
