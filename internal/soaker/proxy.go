package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Trouble is what a proxy does with the bytes that pass.
type Trouble int32

// The troubles of a proxy.
const (
	None Trouble = iota
	// Delay holds each piece back for some time.
	Delay
	// Silence passes nothing in either direction and resets nothing.
	Silence
	// OneWay passes what callers send and no answers.
	OneWay
)

const (
	// delayTime is how long a proxy in Delay holds bytes back.
	delayTime = 150 * time.Millisecond
	// pieceBytes is the most that is passed at once.
	pieceBytes = 32 << 10
)

// proxy passes connections on to one address.
type proxy struct {
	listener net.Listener
	to       string
	trouble  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener,
		to:       to,
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
		go p.pass(conn)
	}
}

func (p *proxy) pass(from net.Conn) {
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.Close()
		return
	}
	p.keep(from, to)
	var group sync.WaitGroup
	group.Go(func() { p.copy(to, from, false) })
	group.Go(func() { p.copy(from, to, true) })
	group.Wait()
	p.drop(from, to)
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// copy passes bytes in one direction until either end closes. While a trouble
// lasts, bytes wait, as they do in a partition.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		for p.holds(answers) {
			time.Sleep(10 * time.Millisecond)
		}
		if Trouble(p.trouble.Load()) == Delay {
			time.Sleep(delayTime)
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

func (p *proxy) holds(answers bool) bool {
	switch Trouble(p.trouble.Load()) {
	case Silence:
		return true
	case OneWay:
		return answers
	}
	return false
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.trouble.Store(int32(None))
	p.reset()
}
