package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a loopback proxy between one host and the store. While it is cut one way, what the host sends
// arrives and what the store answers does not; a channel that has lost an answer returns nothing more. While it refuses, connections are reset.
type link struct {
	addr    string
	target  string
	oneWay  atomic.Bool
	refuses atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// refuse resets all connections and new ones, or ends that.
func (p *link) refuse(on bool) {
	p.refuses.Store(on)
	if !on {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track remembers a connection of the host until the returned function is called.
func (p *link) track(conn net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
	}
}

func (p *link) forward(client net.Conn) {
	if p.refuses.Load() {
		reset(client)
		return
	}
	defer client.Close()
	defer p.track(client)()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	buf := make([]byte, 64<<10)
	lost := false
	for {
		n, err := server.Read(buf)
		lost = lost || n > 0 && p.oneWay.Load()
		if n > 0 && !lost {
			if _, werr := client.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
