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

// Registry holds the intents and outcomes of idempotency keys.
type Registry interface {
	// Begin asks to send the request under a key. Only a granted answer allows it.
	Begin(ctx context.Context, key string, fingerprint []byte, attempt string) *wire.BeginResponse
	// Finish stores the outcome; it reports whether it was stored.
	Finish(ctx context.Context, entry *wire.RegistryEntry) bool
}

// Directory lists the live upstreams.
type Directory interface {
	// Upstreams returns the upstreams of a queue that are live and not leaving.
	Upstreams(queue string) []*wire.Upstream
	// Generation changes with every change of any queue's upstreams.
	Generation() uint64
}

// Tasks accepts tasks and knows their states.
type Tasks interface {
	Submit(ctx context.Context, r *wire.SubmitRequest) *wire.SubmitResponse
	Get(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse
	Cancel(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse
}

// Jobs passes calls of submitters of jobs on to the leader.
type Jobs interface {
	Job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse
}

// Allotments returns what this entry host may use of a team's request limits.
// The values are valid as long as the authority lease.
type Allotments interface {
	// Allotment returns requests a second and requests in flight.
	Allotment(team string) (rate, concurrency int64)
}

// Config holds what an Ingress works with. All fields are required except
// Tasks and Jobs, without which their endpoints answer that there is no
// scheduler, and Tracer, without which no spans are made.
type Config struct {
	// Self names this entry host and its data centre.
	Self       *wire.Member
	View       func() follower.View
	Clock      timer.Clock
	Logger     *slog.Logger
	Tracer     trace.TracerProvider
	Registry   Registry
	Directory  Directory
	Tasks      Tasks
	Jobs       Jobs
	Allotments Allotments
	// Limits bound requests and tasks; zero fields mean the defaults.
	Limits Limits
}
