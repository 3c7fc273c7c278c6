package linewriter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/linewriter"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// If the output blocks, Write must neither block nor queue an unbounded number of
// lines, and dropped lines must be counted.
func TestHangingOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{
		release: make(chan struct{}),
	}
	w := linewriter.New(out)
	const lines = 200_000
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
		is.True(n > 0)
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	written := strings.Count(out.out.String(), "line ")
	is.Equal(int64(written), lines-w.Dropped())
}

// Close must write all lines that were queued before, in order.
func TestCloseWritesAll(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := linewriter.New(&out)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Close()
	is.Equal(strings.Count(out.String(), "\n"), 100)
	is.True(strings.HasPrefix(out.String(), "0\n1\n2\n"))
	// A line written after Close is ignored without an error.
	_, err := w.Write([]byte("late\n"))
	is.NoErr(err)
}
