package httpadapter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

type orderRequest struct {
	Replica   record.ReplicaID `json:"replica,omitempty"`
	Model     string           `json:"model,omitempty"`
	BaseModel string           `json:"base_model,omitempty"`
	MemoryMB  int64            `json:"memory_mb,omitempty"`
	Fence     record.Offset    `json:"fence"`
}

var errSecondConnection = errors.New("order attempted a second connection")

// Order implements external.Engine.
//
// The order is sent on the connection that returned the endpoint's incarnation.
// A connection ends with the process that accepted it, so an order that is
// delayed while the endpoint restarts cannot reach the new process, whose memory
// may be reserved for other replicas.
func (e *Engine) Order(ctx context.Context, o pool.Order) (pool.OrderResult, error) {
	transport := &http.Transport{DialContext: dialOnce(), MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	pinned := Engine{newClient(transport)}
	pinned.bodies = e.bodies
	status, err := pinned.Status(ctx, o.Addr)
	if err != nil {
		return pool.OrderRejected, err
	}
	if status.Incarnation != o.Incarnation {
		return pool.OrderRejected, errors.Newf("order for incarnation %s refused: endpoint %s has incarnation %s", o.Incarnation, o.Endpoint, status.Incarnation)
	}
	request := orderRequest{
		Replica:   o.Replica,
		Model:     o.Model,
		BaseModel: o.BaseModel,
		MemoryMB:  o.MemoryMB,
		Fence:     o.Fence,
	}
	err = pinned.doJSON(ctx, http.MethodPost, o.Addr+"/v1/orders/"+o.Kind.String(), request, nil)
	switch {
	case err == nil:
		return pool.OrderOK, nil
	case errors.Is(err, external.ErrRejected):
		return pool.OrderRejected, err
	default:
		return pool.OrderUnknown, err
	}
}

// dialOnce returns a dial function that fails after its first call.
func dialOnce() func(context.Context, string, string) (net.Conn, error) {
	var mu sync.Mutex
	dialed := false
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if dialed {
			return nil, errSecondConnection
		}
		dialed = true
		return dialer.DialContext(ctx, network, addr)
	}
}
