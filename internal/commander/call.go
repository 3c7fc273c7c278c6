package commander

import (
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/operator"
)

// get sends a GET request and decodes the answer into result.
func (c *client) get(path string, result any) error {
	return c.call(http.MethodGet, path, nil, result, "")
}

// change posts a change and returns the answer. After a lost answer it resends the
// change with the same operation ID, so that it is made at most once.
func (c *client) change(path string, operation string, body any) (*operator.Answer, error) {
	answer := &operator.Answer{}
	if err := c.call(http.MethodPost, path, body, answer, operation); err != nil {
		return nil, err
	}
	return answer, nil
}

// call sends the request until it gets a final answer or the time given by --wait
// is over. Each resend goes to the next server, after a delay that doubles up to
// maxRetryDelay, or after the Retry-After of the answer if that is longer. An empty
// operation means that an unknown outcome is not reported.
func (c *client) call(method, path string, body, result any, operation string) error {
	clock := c.session.programs.Clock
	deadline := clock.Now().Add(c.session.options.Wait)
	delay := initialRetryDelay
	outcomeUnknown := false
	for n := 0; ; n++ {
		server := (c.preferred + n) % len(c.servers)
		a := c.send(method, c.servers[server]+path, body, result, c.requestTimeout(n))
		if a.succeeded {
			c.preferred = server
			return nil
		}
		outcomeUnknown = outcomeUnknown || a.outcomeUnknown && operation != ""
		if a.final() || !clock.Now().Add(delay).Before(deadline) {
			return a.exitError(outcomeUnknown, operation, c.repeatOption)
		}
		if !c.sleep(max(delay, a.retryAfter)) {
			return a.exitError(outcomeUnknown, operation, c.repeatOption)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// requestTimeout returns the time limit of the nth attempt of a call.
func (c *client) requestTimeout(n int) time.Duration {
	if len(c.servers) > 1 && n < len(c.servers) {
		return firstRoundTimeout
	}
	return requestTimeout
}

// sleep waits for d and returns true, or returns false as soon as the context of
// the session ends.
func (c *client) sleep(d time.Duration) bool {
	t := c.session.programs.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-c.session.ctx.Done():
		return false
	}
}

var exitCodeByStatus = map[int]int{
	http.StatusBadRequest:            ExitUsage,
	http.StatusUnauthorized:          ExitNotAllowed,
	http.StatusForbidden:             ExitNotAllowed,
	http.StatusNotFound:              ExitRejected,
	http.StatusConflict:              ExitConflict,
	http.StatusRequestEntityTooLarge: ExitUsage,
	http.StatusUnprocessableEntity:   ExitRejected,
}

// exitError returns the error of a call whose last attempt is a. A conflict or
// rejection is the recorded result of the operation and holds for all its
// attempts. Other refusals don't tell whether an earlier attempt whose answer was
// lost has made the change, so with outcomeUnknown the exit code is ExitUnknown.
func (a attempt) exitError(outcomeUnknown bool, operation, repeatOption string) error {
	f := &exitError{
		code:        ExitUnreachable,
		text:        a.reason,
		problem:     a.problem,
		operationID: operation,
	}
	if a.final() {
		f.code = exitCodeByStatus[a.problem.Status]
	}
	if f.code == 0 {
		f.code = ExitFailed
	}
	decided := f.code == ExitConflict || f.code == ExitRejected
	if outcomeUnknown && !decided {
		f.code = ExitUnknown
		f.text += "; the change may have been made, repeat the command"
		if repeatOption != "" {
			f.text += " with " + repeatOption + " " + operation
		}
	}
	return f
}
