package commander

import (
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
	// requestTimeout is above the time that an entry host waits for a result (5 s)
	// and for its own view (1 s).
	requestTimeout = 8 * time.Second
	// firstPause and mostPause bound the pause between resends.
	firstPause = 200 * time.Millisecond
	mostPause  = 2 * time.Second
)

// client calls the operators' API of one of several entry hosts.
type client struct {
	session *session
	resty   *resty.Client
	servers []string
	// repeat is the option that names an operation when a command is repeated.
	repeat string
}

func (s *session) client() (*client, error) {
	key, err := s.key()
	if err != nil {
		return nil, err
	}
	// A redirect is not followed, so that the key reaches no other server.
	rest := resty.New().
		SetTimeout(requestTimeout).
		SetDisableWarn(true).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetAuthToken(key)
	if err := s.addCertificates(rest); err != nil {
		return nil, err
	}
	return &client{
		session: s,
		resty:   rest,
		servers: s.options.Servers,
		repeat:  "--operation-id",
	}, nil
}

func (s *session) addCertificates(rest *resty.Client) error {
	if s.options.CAFile != "" {
		if _, err := os.ReadFile(s.options.CAFile); err != nil {
			return usage("ca-file: %v", err)
		}
		rest.SetRootCertificate(s.options.CAFile)
	}
	if s.options.CertFile != "" || s.options.CertKey != "" {
		pair, err := tls.LoadX509KeyPair(s.options.CertFile, s.options.CertKey)
		if err != nil {
			return usage("cert-file, cert-key: %v", err)
		}
		rest.SetCertificates(pair)
	}
	return nil
}

// keyPattern has the characters that a header field can carry.
var keyPattern = regexp.MustCompile(`^[!-~]+$`)

func (s *session) key() (string, error) {
	key := os.Getenv("HEATHERMUX_KEY")
	if s.options.KeyFile != "" {
		data, err := os.ReadFile(s.options.KeyFile)
		if err != nil {
			return "", usage("key-file: %v", err)
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if !keyPattern.MatchString(key) {
		return "", &fault{
			code: ExitNotAllowed,
			text: "no key, or more than one word; use --key-file or the environment variable HEATHERMUX_KEY",
		}
	}
	return key, nil
}

// attempt is what one HTTP request led to.
type attempt struct {
	// done means that the request was answered with success.
	done bool
	// problem is a refusal by an entry host; nil when none was received.
	problem *operator.Problem
	// unknown means that the request may have been carried out.
	unknown bool
	reason  string
	// wait is what the entry host asked for.
	wait time.Duration
}

// final reports whether a resend would get the same answer.
func (a attempt) final() bool {
	return a.done || a.problem != nil && a.problem.Status < http.StatusInternalServerError &&
		a.problem.Status != http.StatusTooManyRequests
}

// send makes one request and decodes the answer into result.
func (c *client) send(method, url string, body, result any) attempt {
	var problem operator.Problem
	request := c.resty.R().
		SetContext(c.session.ctx).
		SetResult(result).
		SetError(&problem)
	if body != nil {
		request.SetBody(body)
	}
	response, err := request.Execute(method, url)
	if err != nil {
		return attempt{
			unknown: !notSent(err),
			reason:  err.Error(),
		}
	}
	return outcome(response, &problem)
}

func outcome(response *resty.Response, problem *operator.Problem) attempt {
	seconds, _ := strconv.Atoi(response.Header().Get("Retry-After"))
	a := attempt{
		done:   response.IsSuccess(),
		reason: response.Status(),
		wait:   time.Duration(seconds) * time.Second,
	}
	if a.done {
		return a
	}
	// Refusals of submissions have their code in the type only.
	if name, ok := strings.CutPrefix(problem.Type, "urn:heathermux:problem:"); ok && problem.Code == "" {
		problem.Code = name
	}
	// An answer without a code comes from something between here and an entry host.
	if problem.Code != "" {
		a.problem = problem
		a.reason = problem.Detail
	}
	a.unknown = a.problem == nil || problem.ThisAttempt == operator.Unknown
	return a
}

// notSent reports whether the request failed before anything was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
