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
	// ErrCrossed means that the answer belongs to another attempt.
	ErrCrossed = errors.New("forwarder: answer belongs to another attempt")
)

// readWhole returns the answer only when every byte of it has arrived.
func readWhole(resp *http.Response, id string, maxBody int64) (*Answer, error) {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("forwarder: upstream switched protocols without being asked")
	}
	if got := resp.Header[AttemptHeader]; len(got) > 0 && got[0] != id {
		return nil, ErrCrossed
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return nil, ErrNotDelimited
	}
	if resp.ContentLength > maxBody && resp.Request.Method != http.MethodHead {
		return nil, ErrTooLarge
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

func readBody(resp *http.Response, maxBody int64) ([]byte, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if n := resp.ContentLength; n >= 0 {
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
