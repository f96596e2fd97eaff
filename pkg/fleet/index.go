package fleet

// index finds endpoints by service and by model. It is kept up by endpoint: a
// change of the list or a notice costs what the endpoint holds, and a choice of
// endpoints builds the answer to its own question if that has changed. The slices
// that it returns are never written again.
type index struct {
	// trusted tells whether notices go before the endpoints' own entries.
	trusted bool
	// listed holds the endpoints that take requests, by the list.
	listed map[EndpointID]Endpoint
	// touched names the endpoints of which something has changed.
	touched map[EndpointID]bool
	// entered is what the index holds of each endpoint.
	entered   map[EndpointID]entered
	byService map[string]*group[Endpoint]
	byModel   map[ModelRef]*group[residence]
}

// entered is what the index holds of one endpoint.
type entered struct {
	service string
	models  []ModelRef
}

// group is the members of one answer, and the answer once it was asked for.
type group[T any] struct {
	members map[EndpointID]T
	answer  []T
}

func newIndex() *index {
	return &index{
		listed:    map[EndpointID]Endpoint{},
		touched:   map[EndpointID]bool{},
		entered:   map[EndpointID]entered{},
		byService: map[string]*group[Endpoint]{},
		byModel:   map[ModelRef]*group[residence]{},
	}
}

// touch notes that something of an endpoint has changed.
func (x *index) touch(id EndpointID) { x.touched[id] = true }

func (x *index) touchAll() {
	for id := range x.listed {
		x.touch(id)
	}
}

// list takes in a change of the list.
func (x *index) list(c change) {
	x.touch(c.endpoint.ID)
	if c.gone || !c.endpoint.TakesRequests() {
		delete(x.listed, c.endpoint.ID)
		return
	}
	x.listed[c.endpoint.ID] = c.endpoint
}

// settle enters all endpoints anew that have changed.
func (x *index) settle(notices map[EndpointID]map[string]residence) {
	for id := range x.touched {
		x.leave(id)
		if e, ok := x.listed[id]; ok {
			models, known := notices[id]
			if !known || !x.trusted {
				models = fromEntry(e)
			}
			x.enter(e, models)
		}
	}
	clear(x.touched)
}

func (x *index) leave(id EndpointID) {
	in, ok := x.entered[id]
	if !ok {
		return
	}
	delete(x.entered, id)
	remove(x.byService, in.service, id)
	for _, key := range in.models {
		remove(x.byModel, key, id)
	}
}

func (x *index) enter(e Endpoint, models map[string]residence) {
	in := entered{service: e.Service}
	add(x.byService, e.Service, e.ID, e)
	for name, r := range models {
		key := ModelRef{e.Service, name}
		r.endpoint = e
		add(x.byModel, key, e.ID, r)
		in.models = append(in.models, key)
	}
	x.entered[e.ID] = in
}

func add[K comparable, T any](groups map[K]*group[T], key K, id EndpointID, member T) {
	g := groups[key]
	if g == nil {
		g = &group[T]{members: map[EndpointID]T{}}
		groups[key] = g
	}
	g.members[id] = member
	g.answer = nil
}

func remove[K comparable, T any](groups map[K]*group[T], key K, id EndpointID) {
	g := groups[key]
	delete(g.members, id)
	g.answer = nil
	if len(g.members) == 0 {
		delete(groups, key)
	}
}

// all returns the members in any order.
func (g *group[T]) all() []T {
	if g == nil {
		return nil
	}
	if g.answer == nil {
		g.answer = make([]T, 0, len(g.members))
		for _, m := range g.members {
			g.answer = append(g.answer, m)
		}
	}
	return g.answer
}

// serves tells whether a service has any endpoint that takes requests.
func (x *index) serves(service string) bool { return x.byService[service] != nil }

func (x *index) endpoints(service string) []Endpoint { return x.byService[service].all() }

func (x *index) holders(key ModelRef) []residence { return x.byModel[key].all() }
