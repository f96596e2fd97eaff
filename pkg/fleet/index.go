package fleet

import "time"

// index finds endpoints by service and by model. It is updated incrementally: a change costs
// time proportional to the models of the changed endpoint, and the result of a lookup is
// cached until it changes. Returned slices are never modified.
type index struct {
	// useNotices reports whether notices take precedence over the endpoints' own entries.
	useNotices bool
	// listed holds the endpoints in the list that take requests.
	listed map[EndpointID]*Endpoint
	// dirty holds the endpoints that must be indexed again.
	dirty map[EndpointID]bool
	// indexed holds the keys under which each endpoint is indexed.
	indexed   map[EndpointID]indexKeys
	byService map[string]*memberSet[*Endpoint]
	byModel   map[ModelRef]*memberSet[modelState]
	// copies caches the endpoints of a service as values.
	copies   map[string][]Endpoint
	versions versionUses
}

// indexKeys holds the keys under which an endpoint is indexed.
type indexKeys struct {
	service string
	version string
	models  []ModelRef
}

// memberSet is a set of endpoints or models with a cached list of its members.
type memberSet[T any] struct {
	members map[EndpointID]T
	cached  []T
}

func newIndex() *index {
	return &index{
		listed:    map[EndpointID]*Endpoint{},
		dirty:     map[EndpointID]bool{},
		indexed:   map[EndpointID]indexKeys{},
		byService: map[string]*memberSet[*Endpoint]{},
		byModel:   map[ModelRef]*memberSet[modelState]{},
		copies:    map[string][]Endpoint{},
		versions:  versionUses{},
	}
}

func (x *index) markDirty(id EndpointID) { x.dirty[id] = true }

func (x *index) markAllDirty() {
	for id := range x.listed {
		x.markDirty(id)
	}
}

// applyChange applies a change of the endpoint list.
func (x *index) applyChange(c change) {
	x.markDirty(c.endpoint.ID)
	if c.gone || !c.endpoint.TakesRequests() {
		delete(x.listed, c.endpoint.ID)
		return
	}
	x.listed[c.endpoint.ID] = &c.endpoint
}

// update indexes all dirty endpoints again.
func (x *index) update(now time.Time, placements map[EndpointID][]modelState) {
	for id := range x.dirty {
		x.removeEndpoint(now, id)
		if e, ok := x.listed[id]; ok {
			models, known := placements[id]
			if !known || !x.useNotices {
				models = listedModels(*e)
			}
			x.addEndpoint(e, models)
		}
	}
	clear(x.dirty)
}

func (x *index) removeEndpoint(now time.Time, id EndpointID) {
	keys, ok := x.indexed[id]
	if !ok {
		return
	}
	delete(x.indexed, id)
	delete(x.copies, keys.service)
	x.versions.remove(now, keys.service, keys.version)
	removeMember(x.byService, keys.service, id)
	for _, key := range keys.models {
		removeMember(x.byModel, key, id)
	}
}

func (x *index) addEndpoint(e *Endpoint, models []modelState) {
	keys := indexKeys{service: e.Service, version: e.Version}
	delete(x.copies, e.Service)
	x.versions.add(e.Service, e.Version)
	addMember(x.byService, e.Service, e.ID, e)
	for _, r := range models {
		key := ModelRef{e.Service, r.model}
		r.endpoint = e
		addMember(x.byModel, key, e.ID, r)
		keys.models = append(keys.models, key)
	}
	x.indexed[e.ID] = keys
}

func addMember[K comparable, T any](sets map[K]*memberSet[T], key K, id EndpointID, member T) {
	set := sets[key]
	if set == nil {
		set = &memberSet[T]{members: map[EndpointID]T{}}
		sets[key] = set
	}
	set.members[id] = member
	set.cached = nil
}

func removeMember[K comparable, T any](sets map[K]*memberSet[T], key K, id EndpointID) {
	set := sets[key]
	delete(set.members, id)
	set.cached = nil
	if len(set.members) == 0 {
		delete(sets, key)
	}
}

// list returns the members in no particular order.
func (s *memberSet[T]) list() []T {
	if s == nil {
		return nil
	}
	if s.cached == nil {
		s.cached = make([]T, 0, len(s.members))
		for _, m := range s.members {
			s.cached = append(s.cached, m)
		}
	}
	return s.cached
}

// serves reports whether any endpoint of a service takes requests.
func (x *index) serves(service string) bool { return x.byService[service] != nil }

func (x *index) endpoints(service string) []Endpoint {
	out, ok := x.copies[service]
	if ok {
		return out
	}
	for _, e := range x.byService[service].list() {
		out = append(out, *e)
	}
	x.copies[service] = out
	return out
}

func (x *index) holders(key ModelRef) []modelState { return x.byModel[key].list() }
