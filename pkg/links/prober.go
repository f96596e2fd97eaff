package links

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// sampleTimeout is the time to connect to a sampled endpoint.
	sampleTimeout = 300 * time.Millisecond
	// firstAskedHosts is the number of hosts that are asked first whether they reach the endpoints that this one does not,
	// and askedHosts that of all if these do not either: most hosts may have lost the same links.
	firstAskedHosts = 2
	askedHosts      = 8
	// lostAskInterval is the least interval between two questions while the links are lost. Hosts that are asked too
	// often answer others too late.
	lostAskInterval = 3 * time.Second
	// askTimeout bounds their answers, which take up to twice sampleTimeout.
	askTimeout = 2*sampleTimeout + 200*time.Millisecond
	// furtherSample is the number of endpoints that an asked host tries if it reaches none of the first sample.
	furtherSample = 2 * SampleSize
	// MaxAskedEndpoints is the largest number of endpoints in one question.
	MaxAskedEndpoints = 8
)

// ErrRefused means that an endpoint's machine has refused a connection.
var ErrRefused = errors.New("connection refused")

// ErrNoResult means that an attempt to connect says nothing about the link.
var ErrNoResult = errors.New("connection not attempted")

// Prober finds out whether this host has lost its links, by connecting to samples of endpoints. An endpoint that no other
// host with links can reach either has most likely crashed, and does not count.
type Prober struct {
	Links *HostLinks
	Now   func() time.Time
	// Endpoints returns the endpoints that take requests.
	Endpoints func() []fleet.Endpoint
	// Connect connects to an endpoint. An error marked ErrNoResult does not count, and one marked ErrRefused shows that
	// the endpoint does not run if the link works.
	Connect func(ctx context.Context, e fleet.Endpoint) error
	// Hosts returns addresses of up to n other hosts.
	Hosts func(n int) []string
	// Ask asks a host whether it reaches endpoints.
	Ask func(ctx context.Context, addr string, endpoints []fleet.EndpointID) (Answer, error)

	// askedAt is when others were last asked. Only samples use it, of which there is one at a time.
	askedAt time.Time

	mu              sync.Mutex
	lastLinked      bool
	linkedCheckedAt time.Time
}

// SampleResult is the result of a sample.
type SampleResult struct {
	Reached int
	// Unreached holds the endpoints that only this host cannot reach, as far as is known, Crashed those that no other
	// host reaches either.
	Unreached, Crashed []fleet.EndpointID
	// Changed reports whether the links have become lost, or work again.
	Changed bool
}

// Lost finds out whether this host seems to have lost its links, for a question of another host: it asks no host in
// turn. Whoever reaches any endpoint has links, since most of the others may have crashed.
func (p *Prober) Lost() bool { return p.Links.Table.Lost() || !p.linked() }

// linked reports whether this host reaches one of a few endpoints. The result holds for sampleTTL.
func (p *Prober) linked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.Now(); now.Sub(p.linkedCheckedAt) < sampleTTL {
		return p.lastLinked
	}
	sample := Sample(p.candidates(), "", SampleSize+furtherSample)
	first := min(SampleSize, len(sample))
	reached, unreached := p.connect(sample[:first])
	if reached == 0 {
		var further []fleet.EndpointID
		reached, further = p.connect(sample[first:]) // Most endpoints may have crashed.
		unreached = append(unreached, further...)
	}
	p.lastLinked, p.linkedCheckedAt = reached > 0 || !seemLost(reached, len(unreached)), p.Now()
	return p.lastLinked
}

// Sample finds out whether this host seems to have lost its links. failed is an endpoint that could not be reached,
// or "". It returns at once if a recent sample still applies, or one is in progress.
func (p *Prober) Sample(ctx context.Context, failed fleet.EndpointID) SampleResult {
	if _, begun := p.Links.BeginSample(p.Now()); !begun {
		return SampleResult{}
	}
	var result SampleResult
	result.Reached, result.Unreached = p.connect(Sample(p.candidates(), failed, SampleSize))
	if failed != "" {
		result.Unreached = append(result.Unreached, failed)
	}
	if seemLost(result.Reached, len(result.Unreached)) && p.mayAsk(result.Reached) {
		result.Unreached, result.Crashed = p.withoutCrashed(ctx, result.Unreached)
	}
	result.Changed = p.Links.EndSample(p.Now(), result.Reached, len(result.Unreached))
	return result
}

// mayAsk reports whether a sample that reached some endpoints may ask other hosts. One that reaches none and knows that
// its links are lost would learn nothing.
func (p *Prober) mayAsk(reached int) bool {
	now := p.Now()
	if p.Links.Table.Lost() && (reached == 0 || now.Sub(p.askedAt) < lostAskInterval) {
		return false
	}
	p.askedAt = now
	return true
}

// Reach connects to a sample of up to size endpoints and returns how many were reached and how many not.
func (p *Prober) Reach(size int) (reached, unreached int) {
	reached, failed := p.connect(Sample(p.candidates(), "", size))
	return reached, len(failed)
}

// withoutCrashed divides endpoints that this host cannot reach into those that others reach, or of which none knows, and
// those that have crashed.
func (p *Prober) withoutCrashed(ctx context.Context, unreached []fleet.EndpointID) (own, crashed []fleet.EndpointID) {
	crashed = p.crashed(ctx, unreached)
	p.Links.Table.RecordCrashed(p.Now(), crashed)
	return slices.DeleteFunc(unreached, func(id fleet.EndpointID) bool { return slices.Contains(crashed, id) }), crashed
}

// candidates returns the endpoints that are not known to have crashed.
func (p *Prober) candidates() []fleet.Endpoint {
	now := p.Now()
	return slices.DeleteFunc(p.Endpoints(), func(e fleet.Endpoint) bool { return p.Links.Table.Crashed(now, e.ID) })
}

// crashed returns the endpoints among unreached that no other host reaches either. It returns none if a host that was
// asked does not answer.
func (p *Prober) crashed(ctx context.Context, unreached []fleet.EndpointID) []fleet.EndpointID {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := p.Hosts(askedHosts)
	first := min(firstAskedHosts, len(hosts))
	answers, all := p.ask(ctx, hosts[:first], unreached)
	if !all || len(refusedByAll(unreached, answers)) == 0 {
		return nil
	}
	further, all := p.ask(ctx, hosts[first:], unreached)
	if !all {
		return nil // The one that does not answer may be the only one that reaches them.
	}
	return refusedByAll(unreached, append(answers, further...))
}

// ask asks hosts at the same time, and reports whether all have answered.
func (p *Prober) ask(ctx context.Context, hosts []string, unreached []fleet.EndpointID) (answers []Answer, all bool) {
	type response struct {
		answer Answer
		err    error
	}
	responses := make(chan response, len(hosts))
	for _, addr := range hosts {
		go func() {
			a, err := p.Ask(ctx, addr, unreached)
			responses <- response{a, err}
		}()
	}
	for range hosts {
		r := <-responses
		if r.err != nil {
			return nil, false
		}
		answers = append(answers, r.answer)
	}
	return answers, true
}

// Answer finds out for another host which endpoints this one cannot reach either.
func (p *Prober) Answer(asked []fleet.EndpointID) Answer {
	asked = asked[:min(len(asked), MaxAskedEndpoints)]
	known := slices.DeleteFunc(p.Endpoints(), func(e fleet.Endpoint) bool { return !slices.Contains(asked, e.ID) })
	results := p.connectEach(known)
	var a Answer
	for id, err := range results {
		if errors.Is(err, ErrRefused) {
			a.Refused = append(a.Refused, id)
		} else {
			a.NotRefused = append(a.NotRefused, id)
		}
		a.Linked = a.Linked || err == nil
	}
	a.Linked = a.Linked || p.linked()
	return a
}

// connect connects to endpoints and returns how many were reached and which not.
func (p *Prober) connect(endpoints []fleet.Endpoint) (reached int, unreached []fleet.EndpointID) {
	for id, err := range p.connectEach(endpoints) {
		switch {
		case err == nil:
			reached++
		case !errors.Is(err, ErrNoResult):
			unreached = append(unreached, id)
		}
	}
	return reached, unreached
}

// connectEach connects to endpoints at the same time and returns the error of each.
func (p *Prober) connectEach(endpoints []fleet.Endpoint) map[fleet.EndpointID]error {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	type result struct {
		id  fleet.EndpointID
		err error
	}
	results := make(chan result, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- result{e.ID, p.Connect(ctx, e)} }()
	}
	out := make(map[fleet.EndpointID]error, len(endpoints))
	for range endpoints {
		r := <-results
		out[r.id] = r.err
	}
	return out
}

// Answer is what another host says of endpoints that this one cannot reach.
type Answer struct {
	// Refused holds those that refuse its connections too, NotRefused those that it reaches or may reach. Endpoints
	// that its list does not have are in neither.
	Refused    []fleet.EndpointID `cbor:"1,keyasint,omitempty"`
	NotRefused []fleet.EndpointID `cbor:"3,keyasint,omitempty"`
	// Linked reports whether it reaches any endpoint.
	Linked bool `cbor:"2,keyasint,omitempty"`
}

// refusedByAll returns the endpoints that refuse a host with links, and that no host may reach: the only one that reaches
// an endpoint may be slow, since it serves the others.
func refusedByAll(endpoints []fleet.EndpointID, answers []Answer) []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, id := range endpoints {
		refused := slices.ContainsFunc(answers, func(a Answer) bool { return a.Linked && slices.Contains(a.Refused, id) })
		reachable := slices.ContainsFunc(answers, func(a Answer) bool { return slices.Contains(a.NotRefused, id) })
		if refused && !reachable {
			out = append(out, id)
		}
	}
	return out
}
