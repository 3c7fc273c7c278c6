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
	// batchTime is the processor time of one batch of calls. Shorter batches
	// vary with single garbage collections.
	batchTime = 40 * time.Millisecond

	// repeats is the number of batches; the least one is taken, because
	// disturbances only add.
	repeats = 3
)

// processorTime returns what this process has used, in user and kernel mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	// Getrusage of the own process fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the nanoseconds of processor time that one call takes.
func perCall(f func()) float64 {
	f()
	least := 0.0
	for i := range repeats {
		runtime.GC()
		calls := 0
		start := processorTime()
		for processorTime()-start < batchTime {
			f()
			calls++
		}
		each := float64(processorTime()-start) / float64(calls)
		if i == 0 || each < least {
			least = each
		}
	}
	return least
}

// perFreshCall is perCall for a call that uses up what prepare makes.
func perFreshCall[T any](prepare func() T, f func(T)) float64 {
	least := 0.0
	for i := range repeats {
		v := prepare()
		runtime.GC()
		start := processorTime()
		f(v)
		each := float64(processorTime() - start)
		if i == 0 || each < least {
			least = each
		}
	}
	return least
}

// held returns the bytes of live memory that the result of build keeps.
func held[T any](build func() T) float64 {
	before := liveBytes()
	v := build()
	after := liveBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func liveBytes() uint64 {
	// The second collection frees what finalizers and pools kept over the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// callBytes returns the bytes that one call between entry hosts puts on the
// connection, request and response together, as the messenger frames them.
func callBytes(method string, request, answer proto.Message) float64 {
	asked := &wire.CallHeader{
		Method:       method,
		Sequence:     100_000,
		TimeoutNanos: int64(500 * time.Millisecond),
	}
	answered := &wire.CallHeader{
		Method:   method,
		Sequence: 100_000,
	}
	return float64(framed(asked) + framed(request) + framed(answered) + framed(answer))
}

func framed(m proto.Message) int {
	n := proto.Size(m)
	return protowire.SizeVarint(uint64(n)) + n
}

// recode encodes and decodes a message as a connection would.
func recode[R any, PR interface {
	*R
	proto.Message
}](m PR) PR {
	return unmarshal[R, PR](marshal(m))
}

// marshal fails only for strings that are not UTF-8; the stand-ins have none.
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
