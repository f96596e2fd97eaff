package fleet

import (
	"slices"
	"time"
)

// VersionRequirement is the software version that an endpoint must have. The zero value allows any. Versions are
// opaque and compared for equality only.
type VersionRequirement struct {
	Version string `cbor:"1,keyasint,omitempty"`
	// Set distinguishes an empty version from none.
	Set bool `cbor:"2,keyasint,omitempty"`
}

// RequireVersion returns the requirement of a software version.
func RequireVersion(version string) VersionRequirement {
	return VersionRequirement{Version: version, Set: true}
}

// Allows reports whether an endpoint meets the requirement.
func (r VersionRequirement) Allows(e Endpoint) bool { return !r.Set || e.Version == r.Version }

// versionMemory is how long a software version counts as in use after its last endpoint has stopped taking
// requests. It exceeds the time for which clients try to finish a stream.
const versionMemory = time.Minute

// versionUses tracks which software versions the endpoints of each service have had recently.
type versionUses map[string]map[string]*versionUse

type versionUse struct {
	// endpoints counts those that take requests.
	endpoints int
	// leftAt is when there was last one.
	leftAt time.Time
}

func (u versionUses) add(service, version string) {
	versions := u[service]
	if versions == nil {
		versions = map[string]*versionUse{}
		u[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &versionUse{}
	}
	versions[version].endpoints++
}

func (u versionUses) remove(now time.Time, service, version string) {
	use := u[service][version]
	use.endpoints--
	use.leftAt = now
}

// serves reports whether an endpoint of a version takes requests.
func (u versionUses) serves(service, version string) bool {
	use := u[service][version]
	return use != nil && use.endpoints > 0
}

// recent returns the versions of a service in use within versionMemory, sorted, and forgets the others.
func (u versionUses) recent(now time.Time, service string) []string {
	var out []string
	for version, use := range u[service] {
		if use.endpoints == 0 && now.Sub(use.leftAt) > versionMemory {
			delete(u[service], version)
			continue
		}
		out = append(out, version)
	}
	slices.Sort(out)
	return out
}

// Versions returns the software versions of the endpoints of a service that take requests, or did within the
// last minute, sorted.
func (l *Locator) Versions(now time.Time, service string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshIfStale(now)
	return l.index.versions.recent(now, service)
}

// Admit sets the software versions of services at which requests may begin. A version that is not admitted is used only
// by requests that require it, or if no endpoint of an admitted one takes requests. A service without admitted versions
// has no such limit.
func (l *Locator) Admit(versions map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted = versions
}

// admission returns which endpoints of a service a request may use. It must be called with mu held.
func (l *Locator) admission(service string, required VersionRequirement) func(Endpoint) bool {
	if required.Set {
		return required.Allows
	}
	admitted := l.admitted[service]
	if !slices.ContainsFunc(admitted, func(v string) bool { return l.index.versions.serves(service, v) }) {
		return func(Endpoint) bool { return true }
	}
	return func(e Endpoint) bool { return slices.Contains(admitted, e.Version) }
}
