package recorder

import "github.com/heathermux/heathermux/internal/wire"

// Values of the members "run" and "this-attempt" of a refusal.
const (
	// NotRun is used only where it is proved.
	NotRun = "not-run"
	// Run means that the upstream received and answered the request.
	Run = "run"
	// Unknown means that the request may have run.
	Unknown = "unknown"
)

// Standing returns the members "run" and "this-attempt" of the final response
// to a request whose Begin was not granted. This attempt was not run in any of
// these cases. The operation may have been run by an earlier attempt also when
// Begin was refused, because the registry could not be asked.
func Standing(resp *wire.BeginResponse) (run, thisAttempt string) {
	switch resp.GetOutcome() {
	case wire.BeginOutcome_BEGIN_OUTCOME_FINISHED, wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:
		return Run, NotRun
	case wire.BeginOutcome_BEGIN_OUTCOME_GRANTED:
		return Unknown, Unknown
	}
	return Unknown, NotRun
}
