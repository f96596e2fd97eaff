package fleet

import "time"

// Answer returns a notice of what has changed since an answer that a host has taken in:
// all endpoints if it was another host's, or of another claim. The caller adds the list.
func (b *Board) Answer(now time.Time, source string, p Pull) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.holder
	n.Source = source
	n.Version = b.version
	since := b.since(source, p)
	n.Full = since == 0
	n.HeardAgo = now.Sub(b.heard).Milliseconds()
	for id, models := range b.notices {
		if n.Full || b.versions[id] > since {
			n.Endpoints = append(n.Endpoints, placement(now, id, models))
		}
	}
	if !n.Full {
		n.Endpoints = append(n.Endpoints, b.dropped(since)...)
	}
	n.FarKnown = !n.Full && b.farVersion <= since
	if !n.FarKnown {
		n.Far = b.farModels(now)
	}
	return n
}

// since is the version up to which a host knows what this board would tell it.
func (b *Board) since(source string, p Pull) int64 {
	if p.Source != source || p.Token != b.holder.Token {
		return 0
	}
	return p.Version
}

// dropped names the endpoints that the controller has ceased to name since a version.
func (b *Board) dropped(since int64) []Placement {
	var out []Placement
	for id, v := range b.versions {
		if _, named := b.notices[id]; v > since && !named {
			out = append(out, Placement{Endpoint: id})
		}
	}
	return out
}

// ChangedFor tells whether there is something new for a host, and whether it concerns a
// model for which requests wait there.
func (b *Board) ChangedFor(source string, p Pull, waiting map[ModelRef]bool) (changed, urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := b.since(source, p)
	if since == b.version {
		return false, false
	}
	if since == 0 {
		return true, true
	}
	for ref := range waiting {
		if b.farVersion > since && !b.far[ref].IsZero() {
			return true, true
		}
	}
	for id, models := range b.notices {
		if b.versions[id] > since && concerns(b.directory.serviceOf(id), models, waiting) {
			return true, true
		}
	}
	return true, false
}

// concerns tells whether an endpoint holds a model that is waited for, or will.
func concerns(service string, models map[string]residence, waiting map[ModelRef]bool) bool {
	for name, r := range models {
		if !r.leaving && waiting[ModelRef{service, name}] {
			return true
		}
	}
	return false
}

func placement(now time.Time, id EndpointID, models map[string]residence) Placement {
	p := Placement{Endpoint: id}
	for name, r := range models {
		m := ModelPlacement{Model: name, Leaving: r.leaving}
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

func (b *Board) farModels(now time.Time) []FarModel {
	out := make([]FarModel, 0, len(b.far))
	for ref, at := range b.far {
		out = append(out, FarModel{Service: ref.Service, Model: ref.Model, ReadyIn: max(1, at.Sub(now).Milliseconds())})
	}
	return out
}
