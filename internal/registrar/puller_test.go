package registrar_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// instantClock is a fake clock whose timers fire at once and advance its time by their
// duration.
type instantClock struct {
	*timer.Fake
}

func (c instantClock) NewTimer(d time.Duration) timer.Timer {
	t := c.Fake.NewTimer(d)
	c.Advance(d)
	return t
}

// flappingSource answers pulls by the entries of fails, the last of which holds for
// all further ones, and ends them.
type flappingSource struct {
	fails  []bool
	pulls  int
	cancel context.CancelFunc
}

func (s *flappingSource) Pull(context.Context, *wire.Member, *wire.PullRequest) (*wire.PullResponse, error) {
	fails := s.fails[min(s.pulls, len(s.fails)-1)]
	s.pulls++
	if s.pulls == len(s.fails) {
		s.cancel()
	}
	if fails {
		return nil, errors.New("not reachable")
	}
	return &wire.PullResponse{
		Origin: "b",
	}, nil
}

// Failing pulls must be logged, with their cause, or nobody learns why the upstreams of
// an entry host are not used; once and not at each of four pulls a second.
func TestFailingPullsAreLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	r := registrar.New(registrar.Options{
		Self: &wire.Member{
			Name: "a",
		},
		Clock: instantClock{
			Fake: timer.NewFake(time.Unix(0, 0)),
		},
		Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.Run(ctx, &flappingSource{
		fails:  []bool{false, true, true, true, false, false},
		cancel: cancel,
	}, &wire.Member{
		Name: "b",
	})
	is.Equal(strings.Count(log.String(), "\n"), 2)
	is.Equal(strings.Count(log.String(), "not reachable"), 1)
	is.Equal(strings.Count(log.String(), "succeed again"), 1)
}
