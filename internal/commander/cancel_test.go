package commander_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/commander"
)

// A cancellation whose answers are all lost must end with "unknown", not with the exit
// code that says that nothing was changed.
func TestLostAnswerOfCancelIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	t.Setenv("HEATHERMUX_KEY", "x")
	args := []string{"job", "cancel", "0123456789abcdef", "--server", server.URL, "--wait", "1s"}
	is.Equal(commander.Run(t.Context(), args, commander.Programs{}, nil, io.Discard, io.Discard), commander.ExitUnknown)
}
