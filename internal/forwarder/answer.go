package forwarder

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// AttemptHeader carries the ID of the attempt to the upstream. An upstream may
// echo it; a response with the ID of a different attempt is rejected.
const AttemptHeader = "Heathermux-Attempt"

var (
	// ErrTooLarge means that the response body is larger than MaxBody.
	ErrTooLarge = errors.New("forwarder: response body is larger than the limit of 8 MiB")
	// ErrNotDelimited means that the response body ends only with the
	// connection, so that a truncated response looks like a complete one.
	ErrNotDelimited = errors.New("forwarder: response has neither Content-Length nor chunked encoding")
	// ErrAttemptMismatch means that the response belongs to another attempt.
	ErrAttemptMismatch = errors.New("forwarder: response carries the ID of another attempt")
)

// readResponse returns the response only if it was received completely. It does
// not close the body, because closing reads the rest of a rejected one.
func readResponse(resp *http.Response, attemptID string, maxBody int64) (*Response, error) {
	if !ValidStatus(resp.StatusCode) {
		return nil, errors.Errorf("forwarder: upstream sent invalid final status %d", resp.StatusCode)
	}
	if got := resp.Header[AttemptHeader]; len(got) > 0 && got[0] != attemptID {
		return nil, ErrAttemptMismatch
	}
	body, err := readBody(resp, maxBody)
	if err != nil {
		return nil, err
	}
	StripHopByHop(resp.Header)
	delete(resp.Header, AttemptHeader)
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
	}, nil
}

// ValidStatus reports whether status may be the final status of a request.
// Statuses below 200 are interim, and net/http panics when it writes a status
// that doesn't have three digits.
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
		return body, errors.Wrap(err, "forwarder: failed to read response body")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "forwarder: failed to read chunked response body")
	}
	if int64(len(body)) > maxBody {
		return nil, ErrTooLarge
	}
	return body, nil
}
