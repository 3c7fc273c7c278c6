package forwarder

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// AttemptHeader carries the ID of the attempt to the upstream. An upstream may
// return it; an answer that carries the ID of another attempt is refused.
const AttemptHeader = "Heathermux-Attempt"

var (
	// ErrTooLarge means that the answer is larger than the cap.
	ErrTooLarge = errors.New("forwarder: answer is larger than the cap")
	// ErrNotDelimited means that only the end of the connection ends the
	// answer, so that a cut answer can't be told from a whole one.
	ErrNotDelimited = errors.New("forwarder: answer has neither a length nor chunks")
	// ErrOtherAttempt means that the answer belongs to another attempt.
	ErrOtherAttempt = errors.New("forwarder: answer belongs to another attempt")
)

// readWhole returns the answer only when every byte of it has arrived. It does
// not close the body, because that would read the rest of a refused one.
func readWhole(resp *http.Response, id string, maxBody int64) (*Answer, error) {
	if !ValidStatus(resp.StatusCode) {
		return nil, errors.Errorf("forwarder: upstream answered with status %d", resp.StatusCode)
	}
	if got := resp.Header[AttemptHeader]; len(got) > 0 && got[0] != id {
		return nil, ErrOtherAttempt
	}
	body, err := readBody(resp, maxBody)
	if err != nil {
		return nil, err
	}
	StripHopByHop(resp.Header)
	delete(resp.Header, AttemptHeader)
	return &Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
	}, nil
}

// ValidStatus reports whether a status may end a request. Statuses below 200
// are not final, and net/http panics on writing one that has not three digits.
func ValidStatus(status int) bool { return status >= 200 && status <= 999 }

func readBody(resp *http.Response, maxBody int64) ([]byte, error) {
	n := resp.ContentLength
	switch {
	case resp.Request.Method == http.MethodHead:
		return nil, nil
	case n < 0 && len(resp.TransferEncoding) == 0:
		return nil, ErrNotDelimited
	case n > maxBody:
		return nil, ErrTooLarge
	case n >= 0:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, errors.Wrap(err, "forwarder: answer was cut")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "forwarder: answer was cut")
	}
	if int64(len(body)) > maxBody {
		return nil, ErrTooLarge
	}
	return body, nil
}
