// Package emulator plays load and trouble in virtual time against a model of
// endpoints, weight store and clients. The decisions it drives are the real
// ones: placement, demand, and when a request is held or refused. It answers
// which of two policies serves a load better, in a second and repeatably.
//
// What it leaves out: the network, adapters, prompt caches, the pace of single
// tokens, and hosts that know different things.
package emulator

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/yamlx"
)

// Scenario is a load and its troubles.
type Scenario struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	Fleet    Fleet         `yaml:"fleet"`
	Classes  []Class       `yaml:"classes"`
	Events   []Event       `yaml:"events"`
}

// Fleet describes the endpoints, which are all alike.
type Fleet struct {
	Endpoints int `yaml:"endpoints"`
	// Zones is the number of availability zones that they are spread over.
	Zones int `yaml:"availability_zones"`
	// MemoryMB is the accelerator memory of one endpoint for weights.
	MemoryMB float64 `yaml:"memory_mb"`
	// Slots is the number of requests that an endpoint runs at once.
	Slots int `yaml:"slots"`
	// DiskCopies and HostCopies are how many models' copies its disk and its host
	// memory keep.
	DiskCopies int `yaml:"disk_copies"`
	HostCopies int `yaml:"host_memory_copies"`
	// StoreSlots is how many loads the weight store does at full speed.
	StoreSlots int `yaml:"store_slots"`
	// RatePerReplica is the setting of the same name of the placement.
	RatePerReplica float64 `yaml:"rate_per_replica"`
}

// Class is a kind of request for models of its own.
type Class struct {
	Name string `yaml:"name"`
	// Models is the number of models, Rate the requests a second for all of them
	// together, Skew the exponent of their popularity: 0 asks for all alike.
	Models int     `yaml:"models"`
	Rate   float64 `yaml:"rate"`
	Skew   float64 `yaml:"skew"`
	// WeightsMB is the size of each model; the load times are those from the
	// weight store, an endpoint's disk and its memory.
	WeightsMB  float64       `yaml:"weights_mb"`
	StoreLoad  time.Duration `yaml:"store_load"`
	DiskLoad   time.Duration `yaml:"disk_load"`
	MemoryLoad time.Duration `yaml:"memory_load"`
	// Objective is the time to the first token that counts as in time, Budget how
	// long a client waits in all, Run how long a whole answer takes.
	Objective time.Duration `yaml:"objective"`
	Budget    time.Duration `yaml:"budget"`
	Run       time.Duration `yaml:"run"`
	// Worth and LateWorth weigh answers in time and later ones.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
}

// EventKind is what happens in an event.
type EventKind string

// The kinds of events.
const (
	// Burst multiplies the rate of a class.
	Burst EventKind = "burst"
	// Lose takes endpoints away for good, Replace gives empty ones for them.
	Lose    EventKind = "lose"
	Replace EventKind = "replace"
)

// Event is one trouble.
type Event struct {
	Kind EventKind     `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Class and Factor are those of a burst, Count the number of endpoints.
	Class  string  `yaml:"class"`
	Factor float64 `yaml:"factor"`
	Count  int     `yaml:"count"`
}

// LoadScenario reads and checks a scenario file. All findings come at once.
func LoadScenario(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "scenario")
	}
	return ParseScenario(file, data)
}

// ParseScenario decodes and checks a scenario; file names it in findings.
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
			doc.Add(at+"kind", "is burst, lose or replace")
		case e.Kind == Burst && !names[e.Class]:
			doc.Add(at+"class", "names no class")
		case e.Kind != Burst && e.Count <= 0:
			doc.Add(at+"count", "must be positive")
		}
	}
}
