package ingress

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/otel/trace"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Registry stores for each idempotency key that a request was begun and how it
// ended.
type Registry interface {
	// Begin asks for permission to run a request with an idempotency key. The
	// request may be run only when the response is granted.
	Begin(ctx context.Context, key string, fingerprint []byte, attempt string) *wire.BeginResponse
	// Finish stores the outcome of a granted request and reports whether it was
	// stored.
	Finish(ctx context.Context, entry *wire.RegistryEntry) bool
}

// Directory lists the live upstreams.
type Directory interface {
	// Upstreams returns the upstreams of a queue that are live and not shutting
	// down.
	Upstreams(queue string) []*wire.Upstream
	// Generation returns a number that changes whenever the upstreams of any
	// queue change.
	Generation() uint64
}

// TaskScheduler accepts tasks, reports their state and cancels them.
type TaskScheduler interface {
	Submit(ctx context.Context, r *wire.SubmitRequest) *wire.SubmitResponse
	Get(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse
	Cancel(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse
}

// JobScheduler forwards the job calls of submitters to the leader.
type JobScheduler interface {
	Job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse
}

// Allotments returns the part of a team's request limits that this entry host
// may use. The values are valid as long as the authority lease.
type Allotments interface {
	// Allotment returns the maximum requests per second and the maximum requests
	// in flight of a team.
	Allotment(team string) (rate, concurrency int64)
}

// Config configures an Ingress. All fields are required except Tasks and Jobs,
// without which the endpoints of tasks and jobs answer that there is no
// scheduler, Tracer, without which no spans are created, and Limits.
type Config struct {
	// Self names this entry host and its data centre.
	Self       *wire.Member
	View       func() follower.View
	Clock      timer.Clock
	Logger     *slog.Logger
	Tracer     trace.TracerProvider
	Registry   Registry
	Directory  Directory
	Tasks      TaskScheduler
	Jobs       JobScheduler
	Allotments Allotments
	// Limits of requests and tasks; a zero field means its default.
	Limits Limits
}
