package soaker

import (
	"io"
	"math/rand/v2"
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
	// Blocked forwards nothing in either direction; connections stay open. What waits is
	// delivered afterwards, also to a target that has restarted meanwhile.
	Blocked
	// ResponsesBlocked forwards requests but no responses.
	ResponsesBlocked
	// RequestsLate holds some requests back while others overtake them.
	RequestsLate
	// ResponsesLost resets the connection instead of forwarding a response.
	ResponsesLost
	// ResponsesTruncated ends the connection in the middle of a response.
	ResponsesTruncated
	// ResponsesGarbled sends other bytes instead of a response.
	ResponsesGarbled
	// RequestsTruncated ends the connection in the middle of a request.
	RequestsTruncated
)

const (
	// addedLatency is the latency that Delayed adds.
	addedLatency = 150 * time.Millisecond
	// maxRequestDelay bounds how long RequestsLate holds a request back.
	maxRequestDelay = 4 * time.Second
	// lateRequestInterval makes RequestsLate hold back one request in that many.
	lateRequestInterval = 3
	// copyBufferBytes is the size of the largest chunk that is forwarded at once.
	copyBufferBytes = 32 << 10
)

// garbledResponse claims a length that it doesn't have, with a body of wrong types.
const garbledResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n" +
	`{"server_time_ms":"x","running":[[7]],"finished":{}`

// proxy is a TCP proxy in front of one target address, with an impairment that can
// be set at any time.
type proxy struct {
	address    string
	target     string
	impairment atomic.Int32

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	random   *rand.Rand
}

// newProxy starts a proxy that listens on one address and forwards to another.
func newProxy(listen, to string, seed uint64) (*proxy, error) {
	p := &proxy{
		address: listen,
		target:  to,
		conns:   make(map[net.Conn]struct{}),
		random:  rand.New(rand.NewPCG(seed, 11)),
	}
	return p, p.listen()
}

// listen starts to accept connections.
func (p *proxy) listen() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(listener)
	return nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.track(conn)
		go p.forward(conn)
	}
}

// impair sets the impairment of a proxy that has none and returns a function that
// clears it. It returns nil if the proxy is impaired already, since the end of either
// impairment would end the other too.
func (p *proxy) impair(impairment Impairment) (restore func()) {
	if !p.impairment.CompareAndSwap(int32(NoImpairment), int32(impairment)) {
		return nil
	}
	return func() { p.impairment.CompareAndSwap(int32(impairment), int32(NoImpairment)) }
}

// connection is a client's connection and that to the target, which is made when the
// first bytes are forwarded, and again if the target has closed it by then.
type connection struct {
	client net.Conn

	mu     sync.Mutex
	server net.Conn
}

// setServer replaces the connection to the target if it is old.
func (c *connection) setServer(old, server net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == old {
		c.server = server
	}
}

func (c *connection) currentServer() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server
}

// forward copies requests until the client closes its connection. Requests are delivered
// also if the client has given up meanwhile.
func (p *proxy) forward(client net.Conn) {
	c := &connection{
		client: client,
	}
	defer p.closeConn(client)
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := client.Read(buf)
		if n > 0 && !p.deliver(c, buf[:n]) {
			reset(client)
			break
		}
		if readErr != nil {
			break
		}
	}
	if server := c.currentServer(); server != nil {
		_ = server.Close()
	}
}

// deliver forwards a part of a request when the impairment allows, and reports whether
// the connection goes on.
func (p *proxy) deliver(c *connection, request []byte) bool {
	p.wait(false)
	server := c.currentServer()
	if server == nil {
		var err error
		if server, err = net.Dial("tcp", p.target); err != nil {
			return false
		}
		p.track(server)
		c.setServer(nil, server)
		go p.copyResponses(c, server)
	}
	truncated := Impairment(p.impairment.Load()) == RequestsTruncated
	if truncated {
		request = request[:len(request)/2]
	}
	_, err := server.Write(request)
	return err == nil && !truncated
}

// copyResponses copies responses until the target closes its connection. If it does so
// while it is cut off, the client doesn't learn of it.
func (p *proxy) copyResponses(c *connection, server net.Conn) {
	defer p.closeConn(server)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := server.Read(buf)
		if err != nil {
			c.setServer(server, nil)
			switch {
			case p.isBlocked(true):
			case err == io.EOF:
				_ = c.client.Close()
			default:
				reset(c.client)
			}
			return
		}
		if !p.answer(c.client, buf[:n]) {
			return
		}
	}
}

// answer forwards a part of a response as the impairment allows, and reports whether the
// connection goes on.
func (p *proxy) answer(client net.Conn, response []byte) bool {
	p.wait(true)
	switch Impairment(p.impairment.Load()) {
	case ResponsesLost:
		reset(client)
		return false
	case ResponsesTruncated:
		_, _ = client.Write(response[:len(response)/2])
		_ = client.Close()
		return false
	case ResponsesGarbled:
		_, _ = client.Write([]byte(garbledResponse))
		_ = client.Close()
		return false
	}
	_, err := client.Write(response)
	return err == nil
}

// wait returns when the impairment lets bytes pass.
func (p *proxy) wait(responses bool) {
	for p.isBlocked(responses) {
		time.Sleep(10 * time.Millisecond)
	}
	switch Impairment(p.impairment.Load()) {
	case Delayed:
		time.Sleep(addedLatency)
	case RequestsLate:
		if !responses {
			time.Sleep(p.requestDelay())
		}
	}
}

// requestDelay returns how long RequestsLate holds the next request back.
func (p *proxy) requestDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.IntN(lateRequestInterval) > 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(maxRequestDelay)))
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

// track registers an open connection, so that reset finds it.
func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// closeConn closes a connection and removes it from the register.
func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.conns, c)
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// refuse stops listening, so that connections are refused, and resets the open ones.
func (p *proxy) refuse() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
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
	p.impairment.Store(int32(NoImpairment))
	p.refuse()
}
