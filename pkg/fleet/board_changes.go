package fleet

import "time"

// Answer returns a notice with the changes since the last one that the requesting host has
// applied. The notice is full if that one came from another host or belongs to another claim.
// The caller adds the list entries.
func (b *Board) Answer(now time.Time, source string, p Pull) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.controller
	n.Source = source
	n.Version = b.version
	since := b.knownVersion(source, p)
	n.Full = since == 0
	n.HeartbeatAge = now.Sub(b.heartbeatAt).Milliseconds()
	for id, models := range b.placements {
		if n.Full || b.versions[id] > since {
			n.Endpoints = append(n.Endpoints, newPlacement(now, id, models))
		}
	}
	if !n.Full {
		n.Endpoints = append(n.Endpoints, b.removedSince(since)...)
	}
	n.FarKnown = !n.Full && b.coldVersion <= since
	if !n.FarKnown {
		n.Far = b.coldModels(now)
	}
	return n
}

// knownVersion returns the version of this board that the requesting host knows, or 0 if none.
func (b *Board) knownVersion(source string, p Pull) int64 {
	if p.Source != source || p.Token != b.controller.Token {
		return 0
	}
	return p.Version
}

// removedSince returns empty placements for the endpoints that the controller has stopped
// listing since a version.
func (b *Board) removedSince(since int64) []Placement {
	var out []Placement
	for id, v := range b.versions {
		if _, named := b.placements[id]; v > since && !named {
			out = append(out, Placement{Endpoint: id})
		}
	}
	return out
}

// ChangedFor reports whether there are changes for a host, and whether they are urgent because
// they concern a model with waiting requests there.
func (b *Board) ChangedFor(source string, p Pull, waiting map[ModelRef]bool) (changed, urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := b.knownVersion(source, p)
	if since == b.version {
		return false, false
	}
	if since == 0 {
		return true, true
	}
	for ref := range waiting {
		if b.coldVersion > since && !b.coldReadyAt[ref].IsZero() {
			return true, true
		}
	}
	for id, models := range b.placements {
		if b.versions[id] > since && holdsAny(b.directory.serviceOf(id), models, waiting) {
			return true, true
		}
	}
	return true, false
}

// holdsAny reports whether an endpoint holds or loads one of the wanted models.
func holdsAny(service string, models map[string]modelState, wanted map[ModelRef]bool) bool {
	for name, r := range models {
		if !r.unloading && wanted[ModelRef{service, name}] {
			return true
		}
	}
	return false
}

func newPlacement(now time.Time, id EndpointID, models map[string]modelState) Placement {
	p := Placement{Endpoint: id}
	for name, r := range models {
		m := ModelPlacement{Model: name, Unloading: r.unloading}
		if !r.readyAt.IsZero() {
			m.ReadyIn = max(0, r.readyAt.Sub(now).Milliseconds())
		}
		for a := range r.adapters {
			m.Adapters = append(m.Adapters, a)
		}
		p.Models = append(p.Models, m)
	}
	return p
}

func (b *Board) coldModels(now time.Time) []FarModel {
	out := make([]FarModel, 0, len(b.coldReadyAt))
	for ref, at := range b.coldReadyAt {
		out = append(out, FarModel{Service: ref.Service, Model: ref.Model, ReadyIn: max(1, at.Sub(now).Milliseconds())})
	}
	return out
}
