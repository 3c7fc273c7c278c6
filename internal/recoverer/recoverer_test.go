package recoverer_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/recoverer"
)

// The reason of a panic must not be lost with the panic.
func TestPanicIsLoggedAndReturned(t *testing.T) {
	is := is.New(t)
	var logs bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&logs, nil))
	err := recoverer.Run(logger, "part: entry skipped", func() { panic("index out of range") })
	is.Equal(errors.Cause(err), recoverer.ErrPanicked)
	is.True(strings.Contains(logs.String(), "part: entry skipped"))
	is.True(strings.Contains(logs.String(), "index out of range"))
	is.NoErr(recoverer.Run(logger, "part: entry skipped", func() {}))
}
