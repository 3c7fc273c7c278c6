package commander

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/heathermux/heathermux/internal/operator"
)

const (
	// requestTimeout exceeds the time that an entry host waits for the result of a
	// change (5 s) and for its own view to include it (1 s).
	requestTimeout = 8 * time.Second
	// firstRoundTimeout bounds the first request to each of several servers: a host
	// that is frozen must not hold a command while others are up. A change that
	// takes longer is resent with the same operation ID.
	firstRoundTimeout = 1500 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay between resends.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// client calls the operators' API of one of several entry hosts.
type client struct {
	session *session
	resty   *resty.Client
	servers []string
	// preferred is the index of the server that answered last.
	preferred int
	// repeatOption is the command-line option that identifies the operation when
	// the user repeats a command; empty when the command itself does so.
	repeatOption string
}

func (s *session) client() (*client, error) {
	key, err := s.key()
	if err != nil {
		return nil, err
	}
	// Redirects are not followed, so that the key is sent to no other server.
	rest := resty.New().
		SetTimeout(requestTimeout).
		SetDisableWarn(true).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetAuthToken(key)
	if err := s.addCertificates(rest); err != nil {
		return nil, err
	}
	return &client{
		session:      s,
		resty:        rest,
		servers:      s.options.Servers,
		repeatOption: "--operation-id",
	}, nil
}

func (s *session) addCertificates(rest *resty.Client) error {
	if s.options.CAFile != "" {
		if _, err := os.ReadFile(s.options.CAFile); err != nil {
			return usageError("ca-file: %v", err)
		}
		rest.SetRootCertificate(s.options.CAFile)
	}
	if s.options.CertFile != "" || s.options.CertKey != "" {
		pair, err := tls.LoadX509KeyPair(s.options.CertFile, s.options.CertKey)
		if err != nil {
			return usageError("cert-file, cert-key: %v", err)
		}
		rest.SetCertificates(pair)
	}
	return nil
}

// keyPattern matches printable ASCII without spaces, which an HTTP header value
// can carry.
var keyPattern = regexp.MustCompile(`^[!-~]+$`)

func (s *session) key() (string, error) {
	key := os.Getenv("HEATHERMUX_KEY")
	if s.options.KeyFile != "" {
		data, err := os.ReadFile(s.options.KeyFile)
		if err != nil {
			return "", usageError("key-file: %v", err)
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if !keyPattern.MatchString(key) {
		return "", &exitError{
			code: ExitNotAllowed,
			text: "no key, or more than one word; use --key-file or the environment variable HEATHERMUX_KEY",
		}
	}
	return key, nil
}

// attempt is the result of one HTTP request.
type attempt struct {
	// succeeded means that the answer had a success status.
	succeeded bool
	// problem is the refusal by an entry host, or nil if none was received.
	problem *operator.Problem
	// outcomeUnknown means that the request may have been executed.
	outcomeUnknown bool
	reason         string
	// retryAfter is the delay before a resend that the answer asked for.
	retryAfter time.Duration
}

// final reports whether the answer is definitive. A resend is of use only without
// an answer of an entry host, after a server error and after "too many requests".
func (a attempt) final() bool {
	return a.succeeded || a.problem != nil && a.problem.Status < http.StatusInternalServerError &&
		a.problem.Status != http.StatusTooManyRequests
}

// send sends one request and decodes a successful answer into result.
func (c *client) send(method, url string, body, result any, timeout time.Duration) attempt {
	ctx, cancel := context.WithTimeout(c.session.ctx, timeout)
	defer cancel()
	var problem operator.Problem
	request := c.resty.R().
		SetContext(ctx).
		SetResult(result).
		SetError(&problem)
	if body != nil {
		request.SetBody(body)
	}
	response, err := request.Execute(method, url)
	if err != nil {
		return attempt{
			outcomeUnknown: !notSent(err),
			reason:         err.Error(),
		}
	}
	return newAttempt(response, &problem)
}

func newAttempt(response *resty.Response, problem *operator.Problem) attempt {
	seconds, _ := strconv.Atoi(response.Header().Get("Retry-After"))
	a := attempt{
		succeeded:  response.IsSuccess(),
		reason:     response.Status(),
		retryAfter: time.Duration(seconds) * time.Second,
	}
	if a.succeeded {
		return a
	}
	// Refusals of job submissions have their code in the problem type only.
	if name, ok := strings.CutPrefix(problem.Type, "urn:heathermux:problem:"); ok && problem.Code == "" {
		problem.Code = name
	}
	// An answer without a code comes from an intermediary, such as a gateway.
	if problem.Code != "" {
		a.problem = problem
		a.reason = problem.Detail
	}
	a.outcomeUnknown = a.problem == nil || problem.ThisAttempt == operator.Unknown
	return a
}

// notSent reports whether the request failed while connecting, before anything
// was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
