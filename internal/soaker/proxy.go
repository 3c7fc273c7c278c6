package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Impairment is a network fault that a proxy applies to its connections.
type Impairment int32

// The impairments of a proxy.
const (
	// NoImpairment forwards everything at once.
	NoImpairment Impairment = iota
	// Delayed adds a fixed latency to each chunk of bytes.
	Delayed
	// Blocked forwards nothing in either direction; connections stay open.
	Blocked
	// ResponsesBlocked forwards requests but no responses.
	ResponsesBlocked
)

const (
	// addedLatency is the latency that Delayed adds.
	addedLatency = 150 * time.Millisecond
	// copyBufferBytes is the size of the largest chunk that is forwarded at once.
	copyBufferBytes = 32 << 10
)

// proxy is a TCP proxy in front of one target address, with an impairment that can
// be set at any time.
type proxy struct {
	listener   net.Listener
	target     string
	impairment atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newProxy starts a proxy that listens on one address and forwards to another.
func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener,
		target:   to,
		conns:    make(map[net.Conn]struct{}),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward connects a client to the target and copies in both directions until both
// are closed.
func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	var group sync.WaitGroup
	group.Go(func() { p.copy(server, client, false) })
	group.Go(func() { p.copy(client, server, true) })
	group.Wait()
	p.closeConns(client, server)
}

// track registers open connections, so that reset finds them.
func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

// closeConns closes connections and removes them from the register.
func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// copy copies in one direction until either end closes. While the direction
// is blocked, bytes wait and are forwarded later, as TCP does after a network
// partition.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		for p.isBlocked(responses) {
			time.Sleep(10 * time.Millisecond)
		}
		if Impairment(p.impairment.Load()) == Delayed {
			time.Sleep(addedLatency)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// isBlocked reports whether the impairment blocks the direction of responses or
// that of requests.
func (p *proxy) isBlocked(responses bool) bool {
	switch Impairment(p.impairment.Load()) {
	case Blocked:
		return true
	case ResponsesBlocked:
		return responses
	}
	return false
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection; without linger TCP sends a reset instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// close stops listening, ends the impairment and resets all open connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.impairment.Store(int32(NoImpairment))
	p.reset()
}
