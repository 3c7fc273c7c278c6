package recorder

import "github.com/heathermux/heathermux/internal/wire"

// Values of the fields "run" and "this-attempt" in the response to a refused
// request.
const (
	// NotRun means that the request certainly did not reach the upstream.
	NotRun = "not-run"
	// Run means that the upstream received and answered the request.
	Run = "run"
	// Unknown means that the upstream may have received the request.
	Unknown = "unknown"
)

// RunStatus returns the fields "run" and "this-attempt" of the final response to
// a request whose Begin was not granted. This attempt never ran then. An earlier
// attempt may have run the operation, even if Begin was refused: a refusal can
// mean that the registry could not be asked.
func RunStatus(resp *wire.BeginResponse) (run, thisAttempt string) {
	switch resp.GetOutcome() {
	case wire.BeginOutcome_BEGIN_OUTCOME_FINISHED, wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:
		return Run, NotRun
	case wire.BeginOutcome_BEGIN_OUTCOME_GRANTED:
		return Unknown, Unknown
	}
	return Unknown, NotRun
}
