package voter

import (
	"context"
	"sync"
)

type answer[R any] struct {
	result R
	err    error
}

// proposal is one call of Propose or Submit. Its caller may give up before or after the
// entry is appended to the log.
type proposal[R any] struct {
	answer chan answer[R]

	mu sync.Mutex
	// Invariant: at most one of appended and abandoned becomes true.
	appended  bool
	abandoned bool
}

func newProposal[R any]() *proposal[R] {
	return &proposal[R]{
		answer: make(chan answer[R], 1),
	}
}

// submit calls appendEntry unless the caller has given up. It reports whether the entry
// is in the log and later calls done with the result, or calls done at once with an
// error.
func (p *proposal[R]) submit(appendEntry func(done func(R, error)) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return
	}
	p.appended = appendEntry(func(result R, err error) {
		p.answer <- answer[R]{
			result: result,
			err:    err,
		}
	})
}

// abandon returns what the call returns when its caller gives up because of err: the
// result if there is one, ErrOutcomeUnknown if the entry was appended, and otherwise
// err. In the last case the entry will never be appended.
func (p *proposal[R]) abandon(err error) (R, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var none R
	select {
	case a := <-p.answer:
		return a.result, a.err
	default:
	}
	if p.appended {
		return none, ErrOutcomeUnknown
	}
	p.abandoned = true
	return none, err
}

// await queues appendEntry for the run goroutine and waits for the result.
func await[R any](ctx context.Context, v *Voter, appendEntry func(done func(R, error)) bool) (R, error) {
	p := newProposal[R]()
	if err := v.enqueue(ctx, func() { p.submit(appendEntry) }); err != nil {
		return p.abandon(err)
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-v.done:
		return p.abandon(ErrClosed)
	}
}
