package fleet

import "time"

// maxPlacementsPerNotice bounds the placements in one notice, so that it fits the time of a pull on
// a slow link.
const maxPlacementsPerNotice = 1000

// ChangesSince returns a notice with the changes since the last one that the requesting host has
// applied. The notice is full if that one came from another host or belongs to another claim. Of
// many changes it holds the oldest; its version is that of the last one, so that the next pull
// requests the rest. The caller adds the list entries.
func (l *Locator) ChangesSince(now time.Time, source string, p Pull) Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.controller
	n.Source = source
	n.Version = l.version
	since := l.knownVersion(source, p)
	n.Full = since == 0
	n.HeartbeatAge = now.Sub(l.heartbeatAt).Milliseconds()
	for id, version := range l.changes.since(since) {
		models, listed := l.placements[id]
		if !listed && n.Full {
			continue // A full notice names only what is listed.
		}
		// An endpoint that the controller has stopped listing has an empty placement.
		n.Endpoints = append(n.Endpoints, newPlacement(now, id, models))
		if len(n.Endpoints) == maxPlacementsPerNotice {
			n.Version = version
			break
		}
	}
	n.ColdUnchanged = !n.Full && l.coldVersion <= since
	if !n.ColdUnchanged {
		n.Cold = l.coldModels(now)
	}
	return n
}

// knownVersion returns the version of this locator that the requesting host knows, or 0 if none.
func (l *Locator) knownVersion(source string, p Pull) int64 {
	if p.Source != source || p.Token != l.controller.Token {
		return 0
	}
	return p.Version
}

// ChangedFor reports whether there are changes for a host, and whether they are urgent because
// they concern a model with waiting requests there.
func (l *Locator) ChangedFor(source string, p Pull, waiting map[ModelRef]bool) (changed, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.knownVersion(source, p)
	if since == l.version {
		return false, false
	}
	if since == 0 {
		return true, true
	}
	for ref := range waiting {
		if l.coldVersion > since && !l.coldReadyAt[ref].IsZero() {
			return true, true
		}
	}
	if len(waiting) == 0 {
		return true, false
	}
	for id := range l.changes.since(since) {
		if holdsAny(l.directory.serviceOf(id), l.placements[id], waiting) {
			return true, true
		}
	}
	return true, false
}

// holdsAny reports whether an endpoint holds or loads one of the wanted models.
func holdsAny(service string, models []modelState, wanted map[ModelRef]bool) bool {
	for _, r := range models {
		if !r.unloading && wanted[ModelRef{service, r.model}] {
			return true
		}
	}
	return false
}

func newPlacement(now time.Time, id EndpointID, models []modelState) Placement {
	p := Placement{Endpoint: id}
	for _, r := range models {
		m := ModelPlacement{Model: r.model, Unloading: r.unloading}
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

func (l *Locator) coldModels(now time.Time) []ColdModel {
	out := make([]ColdModel, 0, len(l.coldReadyAt))
	for ref, at := range l.coldReadyAt {
		out = append(out, ColdModel{Service: ref.Service, Model: ref.Model, ReadyIn: max(1, at.Sub(now).Milliseconds())})
	}
	return out
}
