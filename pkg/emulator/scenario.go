// Package emulator simulates load and failures in virtual time against models of
// endpoints, the weight store and clients. It runs the production code for
// placement, demand, and holding or refusing requests, so that placement policies
// and settings can be compared. Results are deterministic for a seed.
//
// It does not model the network, adapters, prompt caches, the rate of tokens, or
// entry hosts with different state.
package emulator

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// Scenario describes a fleet, its load and the events during a simulation.
type Scenario struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	Fleet    Fleet         `yaml:"fleet"`
	Classes  []Class       `yaml:"classes"`
	Events   []Event       `yaml:"events"`
}

// Fleet describes the endpoints, which all have the same size.
type Fleet struct {
	Endpoints int `yaml:"endpoints"`
	// Zones is the number of availability zones that the endpoints are spread over.
	Zones int `yaml:"availability_zones"`
	// MemoryMB is the accelerator memory for weights of one endpoint.
	MemoryMB float64 `yaml:"memory_mb"`
	// Slots is the number of concurrent requests of one endpoint.
	Slots int `yaml:"slots"`
	// DiskCopies and HostCopies limit the copies of weights that one endpoint caches
	// on disk and in host memory.
	DiskCopies int `yaml:"disk_copies"`
	HostCopies int `yaml:"host_memory_copies"`
	// StoreSlots is the number of concurrent loads that the weight store serves at
	// full speed.
	StoreSlots int `yaml:"store_slots"`
	// RatePerReplica is the placement setting of the same name.
	RatePerReplica float64 `yaml:"rate_per_replica"`
}

// Class is a group of models with the same size and the same kind of requests.
type Class struct {
	Name string `yaml:"name"`
	// Models is the number of models, Rate the requests per second for all of them,
	// Skew the exponent of their Zipf distribution. If it is 0, all are equally popular.
	Models int     `yaml:"models"`
	Rate   float64 `yaml:"rate"`
	Skew   float64 `yaml:"skew"`
	// WeightsMB is the size of each model. StoreLoad, DiskLoad and MemoryLoad are the
	// load times from the weight store, the endpoint's disk and its host memory.
	WeightsMB  float64       `yaml:"weights_mb"`
	StoreLoad  time.Duration `yaml:"store_load"`
	DiskLoad   time.Duration `yaml:"disk_load"`
	MemoryLoad time.Duration `yaml:"memory_load"`
	// Objective is the target for the time to first token, Budget the client's total
	// timeout, Run the duration of a request on an idle endpoint.
	Objective time.Duration `yaml:"objective"`
	Budget    time.Duration `yaml:"budget"`
	Run       time.Duration `yaml:"run"`
	// Worth and LateWorth are the weights of responses within the objective and of
	// later ones.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// Burst multiplies the rate of a class.
	Burst EventKind = "burst"
	// Lose removes endpoints permanently, Replace replaces them by empty ones.
	Lose    EventKind = "lose"
	Replace EventKind = "replace"
)

// Event is a burst of load or a loss of endpoints.
type Event struct {
	Kind EventKind     `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Class and Factor are set for a burst. Count is the number of endpoints to lose
	// or replace.
	Class  string  `yaml:"class"`
	Factor float64 `yaml:"factor"`
	Count  int     `yaml:"count"`
}

// LoadScenario reads and validates a scenario file. The error lists all findings.
func LoadScenario(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "read scenario")
	}
	return ParseScenario(file, data)
}

// ParseScenario decodes and validates a scenario. Findings name it by file.
func ParseScenario(file string, data []byte) (Scenario, error) {
	var s Scenario
	doc := yamlx.Decode(file, data, &s)
	if len(doc.Findings()) == 0 {
		s.check(doc)
	}
	return s, doc.Findings().Err()
}

func (s *Scenario) check(doc *yamlx.Document) {
	positive := func(field string, ok bool) {
		if !ok {
			doc.Add(field, "must be positive")
		}
	}
	positive("duration", s.Duration > 0)
	positive("fleet.endpoints", s.Fleet.Endpoints > 0)
	positive("fleet.availability_zones", s.Fleet.Zones > 0)
	positive("fleet.memory_mb", s.Fleet.MemoryMB > 0)
	positive("fleet.slots", s.Fleet.Slots > 0)
	positive("fleet.store_slots", s.Fleet.StoreSlots > 0)
	positive("fleet.rate_per_replica", s.Fleet.RatePerReplica > 0)
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		names[c.Name] = true
		positive(at+"models", c.Models > 0)
		positive(at+"rate", c.Rate > 0)
		positive(at+"weights_mb", c.WeightsMB > 0)
		positive(at+"objective", c.Objective > 0)
		positive(at+"budget", c.Budget > 0)
		positive(at+"run", c.Run > 0)
		positive(at+"worth", c.Worth > 0)
	}
	for i, e := range s.Events {
		at := fmt.Sprintf("events[%d].", i)
		switch {
		case e.Kind != Burst && e.Kind != Lose && e.Kind != Replace:
			doc.Add(at+"kind", "must be burst, lose or replace")
		case e.Kind == Burst && !names[e.Class]:
			doc.Add(at+"class", "must be the name of a class")
		case e.Kind != Burst && e.Count <= 0:
			doc.Add(at+"count", "must be positive")
		}
	}
}
