// Package messenger carries calls between entry hosts: net/rpc with a
// protobuf codec over TCP.
//
// Every call has a deadline, which the called host learns. Every connection
// has a bounded number of calls in flight in each direction. A peer that
// freezes costs its callers a timeout; its connection is then closed, so that
// it holds neither goroutines nor memory.
package messenger

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Request is the argument of a method that is offered to peers. M is the wire
// message type, such as wire.BeginRequest.
type Request[M any] struct {
	// Message is the decoded message; it is never nil in a handler.
	Message *M

	ctx context.Context
}

// Context returns the context of the call. It ends with the caller's deadline
// or with the connection, and it carries the caller's trace.
func (r *Request[M]) Context() context.Context {
	return r.ctx
}

// bind prepares the request for decoding and returns the message to decode into.
func (r *Request[M]) bind(ctx context.Context) proto.Message {
	r.ctx = ctx
	r.Message = new(M)
	m, _ := any(r.Message).(proto.Message)
	return m
}

// binder is what the server codec needs of a Request of any message type.
type binder interface {
	bind(ctx context.Context) proto.Message
}
