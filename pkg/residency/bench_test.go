package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
)

// benchSnapshot returns a snapshot with two models on each endpoint, cached copies of all
// models and a waiting request for every tenth model.
func benchSnapshot(endpoints, models int) residency.Snapshot {
	snap := residency.Snapshot{Now: now, Limits: limits}
	for i := range models {
		waiting := 0
		if i%10 == 0 {
			waiting = 1
		}
		snap.Models = append(snap.Models, model(fmt.Sprint("m", i), waiting, time.Duration(i)*time.Millisecond, 0.2))
	}
	for i := range endpoints {
		e := endpoint(fmt.Sprint("e", i), fmt.Sprint("z", i%3), []string{fmt.Sprint("m", i%models), fmt.Sprint("m", (i+1)%models)})
		for k := range 20 {
			e.Copies[fmt.Sprint("m", (i*7+k*31)%models)] = residency.OnDisk
		}
		e.ID = fleet.EndpointID(fmt.Sprint("e", i))
		snap.Endpoints = append(snap.Endpoints, e)
	}
	return snap
}

// BenchmarkDecide measures one decision for different numbers of endpoints and models.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{{9, 50}, {18, 96}, {100, 310}, {1000, 310}, {12000, 310}} {
		b.Run(fmt.Sprintf("%d endpoints, %d models", size.endpoints, size.models), func(b *testing.B) {
			snap := benchSnapshot(size.endpoints, size.models)
			for b.Loop() {
				residency.Decide(snap)
			}
		})
	}
}
