package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/tealvane/tealvane/pkg/platform"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	idleTimeout      = 10 * time.Second
	keepAlive        = 3 * time.Second
	handshakeTimeout = time.Second
	answerTimeout    = 5 * time.Second
	maxPeerStreams   = 256
	// maxSnapshotChunks bounds a snapshot to about a gigabyte.
	maxSnapshotChunks = 4096
)

// Node sends and answers messages of one host.
type Node struct {
	tls       *tls.Config
	handler   Handler
	transport *quic.Transport
	listener  *quic.Listener

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// Listen opens a node on a UDP address.
func Listen(addr string, conf *tls.Config, handler Handler) (*Node, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &Node{
		tls:       conf,
		handler:   handler,
		transport: &quic.Transport{Conn: socket},
		conns:     map[string]*quic.Conn{},
	}
	n.listener, err = n.transport.Listen(conf, quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, socket.Close())
	}
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxPeerStreams,
	}
}

// Addr is the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close ends all connections.
func (n *Node) Close() error {
	return errors.CombineErrors(n.listener.Close(), errors.CombineErrors(n.transport.Close(), n.transport.Conn.Close()))
}

// Serve answers requests until the node is closed.
func (n *Node) Serve(ctx context.Context) {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		go n.serveConn(ctx, conn)
	}
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.serveStream(stream)
	}
}

func (n *Node) serveStream(stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(answerTimeout))
	var r Request
	if err := readFrame(stream, &r); err != nil {
		stream.CancelWrite(0)
		return
	}
	for _, response := range n.answer(r) {
		response.Version = protocolVersion
		if writeFrame(stream, response) != nil {
			stream.CancelWrite(0)
			return
		}
	}
}

func (n *Node) answer(r Request) []Response {
	switch {
	case r.Usage != nil:
		n.handler.HandleUsage(*r.Usage)
	case r.Leave != nil:
		n.handler.HandleLeave(*r.Leave)
	case r.Tail != nil:
		r.Tail.Limit = min(r.Tail.Limit, maxTail)
		return n.answerTail(*r.Tail)
	case r.Snapshot:
		return n.answerSnapshot()
	}
	return []Response{{}}
}

func (n *Node) answerTail(r TailRequest) []Response {
	entries, err := n.handler.HandleTail(r)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return []Response{{TrimmedFirst: trimmed.First}}
	}
	if err != nil {
		return nil
	}
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxMessageBytes/2 {
			entries = entries[:i]
			break
		}
	}
	return []Response{{Entries: entries}}
}

func (n *Node) answerSnapshot() []Response {
	chunks, err := n.handler.HandleSnapshot()
	if err != nil {
		return nil
	}
	responses := make([]Response, len(chunks))
	for i := range chunks {
		responses[i].Chunk = &chunks[i]
	}
	return responses
}

// Send sends a request and returns the messages of its answer.
func (n *Node) Send(ctx context.Context, addr string, r Request) ([]Response, error) {
	r.Version = protocolVersion
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn, err := n.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.drop(addr, conn)
		return nil, errors.Wrap(err, "open stream")
	}
	defer stream.CancelRead(0)
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	if err := writeFrame(stream, r); err != nil {
		n.drop(addr, conn)
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readAll(stream)
}

func readAll(stream io.Reader) ([]Response, error) {
	var all []Response
	for len(all) <= maxSnapshotChunks {
		var r Response
		err := readFrame(stream, &r)
		if errors.Is(err, io.EOF) && len(all) > 0 {
			return all, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		all = append(all, r)
	}
	return nil, errors.Wrap(ErrMessage, "answer is too long")
}

// dial returns the connection to a host, a new one if there is none.
func (n *Node) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	n.mu.Lock()
	conn := n.conns[addr]
	n.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err = n.transport.Dial(ctx, udpAddr, n.tls, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = conn
	return conn, nil
}

func (n *Node) drop(addr string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[addr] == conn {
		delete(n.conns, addr)
	}
}

// Reader reads the log's tail from other hosts.
type Reader struct {
	Node *Node
	// Addrs returns the addresses of the other hosts, best first.
	Addrs func() []string
}

// ErrNoPeer means that no other host answered.
var ErrNoPeer = errors.Wrap(platform.ErrUnavailable, "no peer answered")

// tailPoll is the pause between two reads from peers that had nothing new.
const tailPoll = 50 * time.Millisecond

// Read implements platform.LogReader: it returns the longest tail that a host
// has, since any of them may be behind.
func (r Reader) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	end := time.Now().Add(wait)
	for {
		entries, err := r.readOnce(ctx, from, limit)
		if err != nil || len(entries) > 0 || time.Now().After(end) {
			return entries, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(tailPoll):
		}
	}
}

func (r Reader) readOnce(ctx context.Context, from record.Offset, limit int) ([]platform.Entry, error) {
	var best []platform.Entry
	err := error(ErrNoPeer)
	for _, addr := range r.Addrs() {
		answer, sendErr := r.Node.Send(ctx, addr, Request{Tail: &TailRequest{From: from, Limit: limit}})
		if sendErr != nil {
			continue
		}
		if first := answer[0].TrimmedFirst; first != 0 {
			if len(best) == 0 {
				err = &platform.TrimmedError{First: first}
			}
			continue
		}
		if entries := answer[0].Entries; best == nil || len(entries) > len(best) {
			best, err = entries, nil
		}
	}
	return best, err
}

// Snapshot returns the newest state among the other hosts, as chunks.
func (r Reader) Snapshot(ctx context.Context) ([]record.Snapshot, error) {
	var best []record.Snapshot
	for _, addr := range r.Addrs() {
		answer, err := r.Node.Send(ctx, addr, Request{Snapshot: true})
		if err != nil || answer[0].Chunk == nil {
			continue
		}
		chunks := make([]record.Snapshot, 0, len(answer))
		for _, a := range answer {
			if a.Chunk != nil {
				chunks = append(chunks, *a.Chunk)
			}
		}
		if best == nil || chunks[0].AsOf > best[0].AsOf {
			best = chunks
		}
	}
	if best == nil {
		return nil, ErrNoPeer
	}
	return best, nil
}
