package voter

import (
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
)

type answer struct {
	result *wire.Result
	err    error
}

// proposal is one call of Propose. Its caller may give up before or after the
// command is appended to the log.
type proposal struct {
	answer chan answer

	mu sync.Mutex
	// Invariant: at most one of appended and abandoned becomes true.
	appended  bool
	abandoned bool
}

func newProposal() *proposal {
	return &proposal{
		answer: make(chan answer, 1),
	}
}

// submit appends the command to the log unless the caller has given up.
func (p *proposal) submit(now time.Time, r *replica.Replica, cmd *wire.Command, awaitInForce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return
	}
	p.appended = r.Propose(now, cmd, awaitInForce, func(result *wire.Result, err error) {
		p.answer <- answer{
			result: result,
			err:    err,
		}
	})
}

// abandon returns what Propose returns when its caller gives up because of err: the
// result if there is one, ErrOutcomeUnknown if the command was appended, and
// otherwise err. In the last case the command will never be appended.
func (p *proposal) abandon(err error) (*wire.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case a := <-p.answer:
		return a.result, a.err
	default:
	}
	if p.appended {
		return nil, ErrOutcomeUnknown
	}
	p.abandoned = true
	return nil, err
}
