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

// VersionedServices returns the services of which endpoints are known, with the software versions that
// Versions returns.
func (l *Locator) VersionedServices(now time.Time) map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshIfStale(now)
	out := make(map[string][]string, len(l.index.versions))
	for service := range l.index.versions {
		out[service] = l.index.versions.recent(now, service)
	}
	return out
}
