package messenger

import (
	"bufio"
	"bytes"
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// maxFrameBytes bounds the size of a frame and of each message in it. The
// largest messages are snapshots of the control state, and stored responses of
// up to 8 MiB.
const maxFrameBytes = 64 << 20

// connBufferBytes is the size of the read and the write buffer of a connection.
const connBufferBytes = 32 << 10

var propagator = propagation.TraceContext{}

// encodeFrame encodes header and body, each preceded by its length as a varint.
func encodeFrame(header *wire.CallHeader, body proto.Message) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, header); err != nil {
		return nil, errors.Wrap(err, "messenger: encode header")
	}
	if _, err := protodelim.MarshalTo(&buf, body); err != nil {
		return nil, errors.Wrap(err, "messenger: encode body")
	}
	if buf.Len() > maxFrameBytes {
		return nil, errors.Errorf("messenger: message of %d bytes is above the limit of %d", buf.Len(), maxFrameBytes)
	}
	return buf.Bytes(), nil
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{
		MaxSize: maxFrameBytes,
	}.UnmarshalFrom(r, m)
}

func traceparentOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

func withTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{
		"traceparent": traceparent,
	})
}
