package commander

import (
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/operator"
)

// get reads a path into result.
func (c *client) get(path string, result any) error {
	return c.call(http.MethodGet, path, nil, result, "")
}

// change posts a change and returns the answer. It resends the same operation
// ID after a lost answer, so that the change is made at most once.
func (c *client) change(path string, operation string, body any) (*operator.Answer, error) {
	answer := &operator.Answer{}
	if err := c.call(http.MethodPost, path, body, answer, operation); err != nil {
		return nil, err
	}
	return answer, nil
}

// call sends the request until it gets a final answer or the time for resends
// is over. Each resend goes to the next server.
func (c *client) call(method, path string, body, result any, operation string) error {
	clock := c.session.programs.Clock
	deadline := clock.Now().Add(c.session.options.Wait)
	pause := firstPause
	unknown := false
	for n := 0; ; n++ {
		a := c.send(method, c.servers[n%len(c.servers)]+path, body, result)
		if a.done {
			return nil
		}
		unknown = unknown || a.unknown && operation != ""
		if a.final() || !clock.Now().Add(pause).Before(deadline) {
			return a.fault(unknown, operation, c.repeat)
		}
		if !c.pause(max(pause, a.wait)) {
			return a.fault(unknown, operation, c.repeat)
		}
		pause = min(2*pause, mostPause)
	}
}

// pause waits and reports false when the session ends meanwhile.
func (c *client) pause(d time.Duration) bool {
	t := c.session.programs.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-c.session.ctx.Done():
		return false
	}
}

var exitCodes = map[int]int{
	http.StatusBadRequest:            ExitUsage,
	http.StatusUnauthorized:          ExitNotAllowed,
	http.StatusForbidden:             ExitNotAllowed,
	http.StatusNotFound:              ExitRejected,
	http.StatusConflict:              ExitConflict,
	http.StatusRequestEntityTooLarge: ExitUsage,
	http.StatusUnprocessableEntity:   ExitRejected,
}

// fault tells how a call ended. A conflict or rejection is the recorded result
// of the operation and holds for all its attempts; other refusals say nothing
// of an earlier attempt whose answer was lost.
func (a attempt) fault(unknown bool, operation, repeat string) error {
	f := &fault{
		code:      ExitUnreachable,
		text:      a.reason,
		problem:   a.problem,
		operation: operation,
	}
	if a.final() {
		f.code = exitCodes[a.problem.Status]
	}
	if f.code == 0 {
		f.code = ExitFailed
	}
	decided := f.code == ExitConflict || f.code == ExitRejected
	if unknown && !decided {
		f.code = ExitUnknown
		f.text += "; the change may have been made, repeat the command with " + repeat + " " + operation
	}
	return f
}
