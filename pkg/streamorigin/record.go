package streamorigin

import (
	"maps"
	"slices"
)

// Record says where streams that still go on may have begun. It is kept in the store, so that it outlives the
// hosts: without it, hosts that have just started cannot tell whether a version that they see has begun them all.
type Record struct {
	// Era is the era of the store for which the record was written. A restored store returns to older records.
	Era int64 `cbor:"1,keyasint"`
	// Versions holds the software versions of each service that resumable routes have had lately, sorted.
	Versions map[string][]string `cbor:"2,keyasint"`
	// Routes holds the services that each resumable route has had lately, by its RouteKey. It is nil if all of
	// them had the same one.
	Routes map[string][]string `cbor:"3,keyasint,omitempty"`
	// Partial reports that its writer did not know whether there were others.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Names reports whether the record names a version of a service.
func (r *Record) Names(service, version string) bool {
	return r != nil && slices.Contains(r.Versions[service], version)
}

// Services returns the services of a route.
func (r *Record) Services(route string) []string {
	switch {
	case r == nil:
		return nil
	case r.Routes == nil:
		return slices.Sorted(maps.Keys(r.Versions))
	}
	return r.Routes[route]
}

// WithRoutes adds the services that the record has to those of routes.
func (r *Record) WithRoutes(routes map[string][]string) map[string][]string {
	if r == nil {
		return routes
	}
	out := union(routes, r.Routes)
	for route := range routes {
		out[route] = unite(out[route], r.Services(route))
	}
	return out
}

// Covers reports whether the record has everything that another one has.
func (r *Record) Covers(o Record) bool {
	if r == nil || r.Era != o.Era {
		return false
	}
	for service, versions := range o.Versions {
		for _, v := range versions {
			if !r.Names(service, v) {
				return false
			}
		}
	}
	for route, services := range o.Routes {
		if !containsAll(r.Services(route), services) {
			return false
		}
	}
	return true
}

// PlanWrite returns the record to write, nil if the stored one need not change. known has the services of all routes. Only
// a writer that owns the record and knows all removes what the store has.
func PlanWrite(known Record, stored *Record, owner bool) *Record {
	if !owner || known.Partial {
		if stored.Covers(known) {
			return nil
		}
		known = merge(known, stored)
	}
	if len(AllServices(known.Routes)) <= 1 {
		known.Routes = nil
	}
	if stored != nil && equal(known, *stored) {
		return nil
	}
	return &known
}

// merge adds what the store has to a record.
func merge(r Record, stored *Record) Record {
	if stored == nil {
		return r
	}
	return Record{
		Era:      r.Era,
		Versions: union(r.Versions, stored.Versions),
		Routes:   stored.WithRoutes(r.Routes),
		Partial:  r.Partial || stored.Partial || stored.Era != r.Era,
	}
}

func union(a, b map[string][]string) map[string][]string {
	out := map[string][]string{}
	for _, m := range []map[string][]string{a, b} {
		for k, v := range m {
			out[k] = unite(out[k], v)
		}
	}
	return out
}

// unite returns the sorted elements of two lists.
func unite(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(s string) bool { return !slices.Contains(all, s) })
}

func equal(a, b Record) bool {
	return a.Era == b.Era && a.Partial == b.Partial &&
		maps.EqualFunc(a.Versions, b.Versions, slices.Equal) && maps.EqualFunc(a.Routes, b.Routes, slices.Equal)
}

// Admit returns the versions of a service at which streams may begin: those that the store names, and those admitted
// before. If no endpoint has one of them, streams begin at what there is, since hosts that start later see then that
// the record is not complete.
func Admit(admitted, live []string, recorded func(version string) bool) []string {
	var out []string
	for _, v := range live {
		if slices.Contains(admitted, v) || recorded(v) {
			out = append(out, v)
		}
	}
	if out == nil {
		return live
	}
	return out
}
