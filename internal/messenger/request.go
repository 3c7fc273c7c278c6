// Package messenger implements remote procedure calls between entry hosts: it
// provides net/rpc with a protobuf codec over TCP, optionally with TLS.
//
// Every call has a deadline, which is sent to the peer. The number of calls in
// flight is bounded for each connection, on the client and on the server. Calls
// to a peer that doesn't respond time out; the connection is then closed, so
// that it holds neither goroutines nor memory.
package messenger

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Request is the argument of a method that is registered with a Server. M is the
// protobuf message type, such as wire.BeginRequest.
type Request[M any] struct {
	// Message is the decoded message; it is never nil in a handler.
	Message *M

	ctx context.Context
}

// Context returns the context of the call. It ends at the caller's deadline,
// when the connection is closed, or when the handler has returned, and it
// carries the caller's trace.
func (r *Request[M]) Context() context.Context {
	return r.ctx
}

// bind sets the context of the request and returns the message to decode into.
func (r *Request[M]) bind(ctx context.Context) proto.Message {
	r.ctx = ctx
	r.Message = new(M)
	m, _ := any(r.Message).(proto.Message)
	return m
}

// binder is implemented by a *Request of any message type.
type binder interface {
	bind(ctx context.Context) proto.Message
}
