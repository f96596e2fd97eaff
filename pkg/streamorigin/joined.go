package streamorigin

import (
	"slices"
	"time"
)

// TrustTime is how old what a host knows of the endpoints may be if it decides by that alone where a stream began.
const TrustTime = 2 * time.Second

// Joined tracks for how long versions of services have been recorded in the store. The zero value has none. It is not
// safe for concurrent use.
type Joined struct{ since map[serviceVersion]time.Time }

type serviceVersion struct{ service, version string }

// Since returns the time since it was first called for a version.
func (j *Joined) Since(now time.Time, service, version string) time.Duration {
	if j.since == nil {
		j.since = map[serviceVersion]time.Time{}
	}
	key := serviceVersion{service, version}
	if _, ok := j.since[key]; !ok {
		j.since[key] = now
	}
	return now.Sub(j.since[key])
}

// Retain forgets all versions but those that live.
func (j *Joined) Retain(live map[string][]string) {
	for key := range j.since {
		if !slices.Contains(live[key.service], key.version) {
			delete(j.since, key)
		}
	}
}
