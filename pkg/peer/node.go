package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
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
	tls     *tls.Config
	respond Responder
	// known tells known hosts by their certificates; nil knows all.
	known     func(Fingerprint) bool
	transport *quic.Transport
	listener  *quic.Listener

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// Responder returns the messages that answer a request.
type Responder func(Request) []Response

// Listen opens a node on a UDP address.
func Listen(addr string, conf *tls.Config, respond Responder) (*Node, error) {
	return open(addr, conf, conf, nil, respond)
}

// ListenPinned opens a node whose peers are known by their certificates.
func ListenPinned(addr string, cert tls.Certificate, known func(Fingerprint) bool, respond Responder) (*Node, error) {
	dial, accept := PinnedTLS(cert, known)
	return open(addr, dial, accept, known, respond)
}

func open(addr string, dial, accept *tls.Config, known func(Fingerprint) bool, respond Responder) (*Node, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &Node{
		tls:       dial,
		known:     known,
		respond:   respond,
		transport: &quic.Transport{Conn: socket},
		conns:     map[string]*quic.Conn{},
	}
	n.listener, err = n.transport.Listen(accept, quicConfig())
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

// Forget drops the connection to an address at which another host now listens.
func (n *Node) Forget(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, addr)
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
		go n.serveStream(conn, stream)
	}
}

// knows tells whether the other end of a connection is a known host.
func (n *Node) knows(conn *quic.Conn) bool {
	if n.known == nil {
		return true
	}
	certs := conn.ConnectionState().TLS.PeerCertificates
	return len(certs) > 0 && n.known(sha256.Sum256(certs[0].Raw))
}

func (n *Node) serveStream(conn *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(answerTimeout))
	var r Request
	if err := readFrame(stream, &r); err != nil {
		stream.CancelWrite(0)
		return
	}
	r.Known = n.knows(conn)
	for _, response := range n.respond(r) {
		response.Version = protocolVersion
		if writeFrame(stream, response) != nil {
			stream.CancelWrite(0)
			return
		}
	}
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
