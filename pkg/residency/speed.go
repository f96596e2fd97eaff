package residency

// minSpeedPercent bounds the speed of an endpoint from below, so that one that has stalled for a moment
// does not outweigh every other cost.
const minSpeedPercent = 10

// speed returns the work per second of an endpoint relative to the mean of the service.
func (e *Endpoint) speed() float64 {
	if e.SpeedPercent == 0 {
		return 1
	}
	const percent = 100
	return float64(max(minSpeedPercent, e.SpeedPercent)) / percent
}

// addReplica counts a new replica of a model.
func (d *decider) addReplica(model string, e *Endpoint) {
	d.replicas[model]++
	d.versionReplicas[modelVersion{model, e.Version}]++
	d.capacity[model] += e.speed()
}

// removeReplica stops counting a replica of a model.
func (d *decider) removeReplica(model string, e *Endpoint) {
	d.replicas[model]--
	d.versionReplicas[modelVersion{model, e.Version}]--
	d.capacity[model] -= e.speed()
}

// servedRate returns the request rate that the replica of a model at an endpoint serves if requests
// are divided among the replicas by their speed.
func (d *decider) servedRate(m *Model, e *Endpoint) float64 {
	return m.SlowRate / max(1, d.capacity[m.Name]/e.speed())
}

// slowCost returns the cost, in seconds, of a hot model at an endpoint that is slower than the mean; it
// is negative at a faster one. At half the speed a request takes as long as at an endpoint that is
// shared with one other hot model.
func (e *Endpoint) slowCost() float64 { return colocationCost * (1/e.speed() - 1) }
