package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
)

// maxConnections bounds the open connections of a server. Each entry host makes
// one connection to each other one.
const maxConnections = 1024

// Server serves calls from peers. It is created by NewServer.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	tracer   trace.Tracer
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu sync.Mutex
	// Invariant: holds the codec of each connection that is being served.
	codecs map[*serverCodec]struct{}
}

// NewServer returns a server for the listener. Serve starts it.
func NewServer(opts ServerOptions) *Server {
	listener := opts.Listener
	if opts.TLS != nil {
		listener = tls.NewListener(listener, opts.TLS)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		rpc:      rpc.NewServer(),
		listener: listener,
		tracer:   tracerOf(opts.Tracer),
		ctx:      ctx,
		cancel:   cancel,
		codecs:   make(map[*serverCodec]struct{}),
	}
}

// Register makes the methods of service available to peers as name.Method. Each
// method takes a *Request and a pointer to the response message. Register must
// be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "messenger: register %s", name)
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "messenger: accept")
		}
		s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	codec := newServerCodec(s.ctx, conn, s.tracer)
	if !s.add(codec) {
		_ = codec.Close()
		return
	}
	s.group.Go(func() {
		defer s.remove(codec)
		s.rpc.ServeCodec(codec)
	})
}

func (s *Server) add(codec *serverCodec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(s.codecs) >= maxConnections {
		return false
	}
	s.codecs[codec] = struct{}{}
	return true
}

func (s *Server) remove(codec *serverCodec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.codecs, codec)
}

// Close stops accepting connections, closes those that are open and waits for
// their calls to end.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	for codec := range s.codecs {
		_ = codec.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
	return errors.Wrap(err, "messenger: close listener")
}
