package peer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

// fakeHandler returns fixed responses and sends usage reports to a channel.
type fakeHandler struct {
	usage chan UsageReport
}

func (f fakeHandler) HandleUsage(r UsageReport) { f.usage <- r }
func (fakeHandler) HandleDrain(DrainNotice)     {}

func (fakeHandler) HandleTail(r TailRequest) ([]external.Entry, error) {
	if r.From < 10 {
		return nil, &external.TrimmedError{First: 10}
	}
	return []external.Entry{{Offset: r.From, Data: []byte("x")}}, nil
}

func (fakeHandler) HandleSnapshot() ([]record.Snapshot, error) {
	return []record.Snapshot{{AsOf: 9, Count: 2}, {AsOf: 9, Index: 1, Count: 2}}, nil
}

func identity(t *testing.T) DevIdentity {
	t.Helper()
	id, err := NewDevIdentity(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func listen(t *testing.T, id DevIdentity, h Handler) *Node {
	t.Helper()
	conf, err := id.TLS()
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen("127.0.0.1:0", conf, HandlerResponder(h))
	if err != nil {
		t.Fatal(err)
	}
	go n.Serve(context.Background())
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func TestRequestsOverQUIC(t *testing.T) {
	is := is.New(t)
	id := identity(t)
	handler := fakeHandler{usage: make(chan UsageReport, 1)}
	server, client := listen(t, id, handler), listen(t, id, fakeHandler{})
	_, err := client.Send(context.Background(), server.Addr(), Request{Usage: &UsageReport{Host: "h", Pool: "p"}})
	is.NoErr(err)
	is.Equal((<-handler.usage).Pool, "p")

	reader := Reader{Peers: client, Addrs: func() []string { return []string{server.Addr()} }}
	entries, err := reader.Read(context.Background(), 12, 5, 0)
	is.NoErr(err)
	is.Equal(entries[0].Offset, record.Offset(12))
	_, err = reader.Read(context.Background(), 3, 5, 0)
	var trimmed *external.TrimmedError
	is.True(errors.As(err, &trimmed))
	chunks, err := reader.Snapshot(context.Background())
	is.NoErr(err)
	is.Equal(len(chunks), 2)

	// A request of an unknown kind gets an empty response.
	responses, err := client.Send(context.Background(), server.Addr(), Request{})
	is.NoErr(err)
	is.Equal(len(responses), 1)
}

// Guards against handling requests of a sender whose certificate is signed by another
// authority.
func TestUntrustedCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	handler := fakeHandler{usage: make(chan UsageReport, 1)}
	server := listen(t, identity(t), handler)
	untrusted := listen(t, identity(t), fakeHandler{})
	_, err := untrusted.Send(context.Background(), server.Addr(), Request{Usage: &UsageReport{}})
	is.True(err != nil)
	is.Equal(len(handler.usage), 0)
}

// FuzzFrame decodes arbitrary bytes. The frame size must be checked before memory is
// allocated.
func FuzzFrame(f *testing.F) {
	var buffer bytes.Buffer
	if err := writeFrame(&buffer, Request{Tail: &TailRequest{From: 3, Limit: 4}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request Request
		if err := readFrame(bytes.NewReader(data), &request); err == nil {
			Handle(fakeHandler{usage: make(chan UsageReport, 1)}, request)
		}
		var response Response
		_ = readFrame(bytes.NewReader(data), &response)
	})
}
