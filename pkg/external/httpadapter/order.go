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

var errOneConnection = errors.New("an order uses one connection only")

// Order implements external.Engine.
//
// The order travels on a connection over which the endpoint has just shown
// its incarnation. An owner that was paused, or whose packets were held up,
// while the endpoint restarted would otherwise load a replica into the new
// process, whose memory was given to others. A connection ends with the
// process that accepted it, so the order cannot reach another one.
func (e *Engine) Order(ctx context.Context, o pool.Order) (pool.OrderResult, error) {
	transport := &http.Transport{DialContext: dialOnce(), MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	bound := Engine{newClient(transport)}
	status, err := bound.Status(ctx, o.Addr)
	if err != nil {
		return pool.OrderRefused, err
	}
	if status.Incarnation != o.Incarnation {
		return pool.OrderRefused, errors.Newf("endpoint %s restarted as %s", o.Endpoint, status.Incarnation)
	}
	in := orderRequest{
		Replica:   o.Replica,
		Model:     o.Model,
		BaseModel: o.BaseModel,
		MemoryMB:  o.MemoryMB,
		Fence:     o.Fence,
	}
	err = bound.call(ctx, http.MethodPost, o.Addr+"/v1/orders/"+o.Kind.String(), in, nil)
	switch {
	case err == nil:
		return pool.OrderOK, nil
	case errors.Is(err, external.ErrRejected):
		return pool.OrderRefused, err
	default:
		return pool.OrderUnknown, err
	}
}

func dialOnce() func(context.Context, string, string) (net.Conn, error) {
	var mu sync.Mutex
	used := false
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if used {
			return nil, errOneConnection
		}
		used = true
		return dialer.DialContext(ctx, network, addr)
	}
}
