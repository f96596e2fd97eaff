package orders_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
)

// Guards against losing the reported waits for first bytes of some hosts. One second of
// waiting per second counts as one request.
func TestFirstByteWaitIsSummedOverHosts(t *testing.T) {
	is := is.New(t)
	d := orders.NewDemand(start)
	service := fleet.Service{Name: "llm", Engine: &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}}
	now := start
	for range 80 {
		now = now.Add(250 * time.Millisecond)
		for _, host := range []string{"a", "b"} {
			d.AddReport(now, fleet.DemandReport{Host: host, Needs: []fleet.NeedReport{{Service: "llm", Model: "m", Arrived: 1, FirstByteWait: 125}}})
		}
	}
	models := d.Models(now, service)
	is.Equal(len(models), 1)
	is.True(math.Abs(models[0].AwaitingFirstByte-1) < 0.1)
}
