package measurer

import (
	"runtime"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// batchTime is the minimum processor time of one batch of calls. In shorter
	// batches a single garbage collection changes the result.
	batchTime = 40 * time.Millisecond

	// repeats is the number of batches. The minimum is used, because
	// disturbances only add time.
	repeats = 3
)

// processorTime returns the processor time that this process has used in user and
// kernel mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	// With RUSAGE_SELF, Getrusage fails only for an invalid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the processor time of one call in nanoseconds.
func cpuPerCall(f func()) float64 {
	f()
	minimum := 0.0
	for i := range repeats {
		runtime.GC()
		calls := 0
		start := processorTime()
		for processorTime()-start < batchTime {
			f()
			calls++
		}
		each := float64(processorTime()-start) / float64(calls)
		if i == 0 || each < minimum {
			minimum = each
		}
	}
	return minimum
}

// cpuPerPreparedCall is like cpuPerCall for calls that consume their input: it
// prepares a new input for each call and doesn't time the preparation.
func cpuPerPreparedCall[T any](prepare func() T, f func(T)) float64 {
	minimum := 0.0
	for i := range repeats {
		v := prepare()
		runtime.GC()
		start := processorTime()
		f(v)
		each := float64(processorTime() - start)
		if i == 0 || each < minimum {
			minimum = each
		}
	}
	return minimum
}

// retainedBytes returns the bytes of heap that the result of build keeps alive.
func retainedBytes[T any](build func() T) float64 {
	before := liveBytes()
	v := build()
	after := liveBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// liveBytes returns the bytes of live heap objects after a garbage collection.
func liveBytes() uint64 {
	// The second collection frees objects that finalizers and sync.Pools kept
	// alive during the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// callBytes returns the bytes of one call between entry hosts on the connection:
// request and response together, as the messenger frames them.
func callBytes(method string, request, answer proto.Message) float64 {
	requestHeader := &wire.CallHeader{
		Method:       method,
		Sequence:     100_000,
		TimeoutNanos: int64(500 * time.Millisecond),
	}
	responseHeader := &wire.CallHeader{
		Method:   method,
		Sequence: 100_000,
	}
	return float64(framedSize(requestHeader) + framedSize(request) + framedSize(responseHeader) + framedSize(answer))
}

// framedSize returns the size of a message with its length prefix.
func framedSize(m proto.Message) int {
	n := proto.Size(m)
	return protowire.SizeVarint(uint64(n)) + n
}

// roundTrip encodes and decodes a message, as sending it over a connection does.
func roundTrip[R any, PR interface {
	*R
	proto.Message
}](m PR) PR {
	return unmarshal[R, PR](marshal(m))
}

// marshal encodes a message. It panics on an error: that occurs only for strings
// that aren't valid UTF-8, which the emulated fleet doesn't contain.
func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func unmarshal[R any, PR interface {
	*R
	proto.Message
}](data []byte) PR {
	m := PR(new(R))
	if err := proto.Unmarshal(data, m); err != nil {
		panic(err)
	}
	return m
}
