package commander_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/heathermux/heathermux/internal/commander"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

// terminal runs command lines and records their output.
type terminal struct {
	host   *fakeHost
	server string
	out    bytes.Buffer
}

// runLine runs one line of a session file: a command line after "$", an injected
// fault of the entry host after "!", or a comment.
func (s *terminal) runLine(ctx context.Context, line string) {
	fmt.Fprintln(&s.out, line)
	words := strings.Fields(line)
	switch {
	case strings.HasPrefix(line, "$ "):
		s.run(ctx, strings.Fields(strings.ReplaceAll(line, "SERVER", s.server))[1:])
	case strings.HasPrefix(line, "! "):
		n, _ := strconv.Atoi(words[2])
		s.host.setFaults(words[1], n)
	}
}

func (s *terminal) run(ctx context.Context, args []string) {
	programs := commander.Programs{
		Clock: instantClock{timer.NewFake(epoch)},
		Serve: func(_ context.Context, settings loader.Settings, log *slog.Logger) error {
			fmt.Fprintf(&s.out, "[serve %s, debug log %v]\n", settings.Name, log.Enabled(ctx, slog.LevelDebug))
			return nil
		},
		Demo: func(_ context.Context, options commander.DemoOptions) error {
			fmt.Fprintf(&s.out, "[demo %+v]\n", options)
			return errors.New("the demo failed")
		},
	}
	stdin := strings.NewReader(`{"revision": 0, "contract": {"customer": "new", "teams": [{"name": "new", "share": 1}]}}`)
	if code := commander.Run(ctx, args, programs, stdin, &s.out, &s.out); code != 0 {
		fmt.Fprintf(&s.out, "[exit %d]\n", code)
	}
}

var (
	keyPattern         = regexp.MustCompile(`hmx_[A-Za-z0-9_-]{43}`)
	operationIDPattern = regexp.MustCompile(`op-[a-z2-7]{26}`)
)

// normalizedText returns the recorded output with placeholders for what differs
// from run to run: the server's URL, keys and operation IDs.
func (s *terminal) normalizedText() []byte {
	text := strings.ReplaceAll(s.out.String(), s.server, "SERVER")
	text = keyPattern.ReplaceAllString(text, "KEY")
	return []byte(operationIDPattern.ReplaceAllString(text, "OPERATION"))
}

// Guards against unintended changes of what users and scripts see: the text, the
// JSON and the exit codes of whole sessions. After an intended change, run with
// -update and review the diff.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.session")
	if err != nil || len(files) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".session")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			host, server := newHost(t)
			t.Setenv("HEATHERMUX_SERVER", server.URL)
			t.Setenv("HEATHERMUX_KEY", "example-qhapaq-operator")
			s := &terminal{
				host:   host,
				server: server.URL,
			}
			for line := range strings.Lines(string(data)) {
				s.runLine(t.Context(), strings.TrimSuffix(line, "\n"))
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, name, s.normalizedText())
		})
	}
}

// Guards against a command without help, and against --help that ends with an error.
func TestHelp(t *testing.T) {
	for _, command := range []string{
		"", "serve", "check", "demo", "status", "contract", "contract get", "contract list", "contract apply",
		"key", "key grant", "key withdraw", "key list", "zone", "zone list", "zone out", "zone in",
		"pool", "pool list", "pool out", "pool in", "pool drain", "host", "host list", "host move", "host drain",
		"host return", "maintenance", "maintenance start", "maintenance status",
	} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			args := append(strings.Fields(command), "--help")
			is.Equal(commander.Run(t.Context(), args, commander.Programs{}, nil, &out, io.Discard), commander.ExitDone)
			is.True(strings.Contains(out.String(), "Usage:\n  heathermux [OPTIONS] "+command))
		})
	}
}

// Guards against a command that continues to wait for resends after an interrupt.
func TestInterruptEndsResends(t *testing.T) {
	is := is.New(t)
	t.Setenv("HEATHERMUX_KEY", "x")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	args := []string{"zone", "list", "--server", "http://127.0.0.1:1", "--wait", "1h"}
	var programs commander.Programs
	programs.Clock = timer.NewFake(epoch) // a wait on it never ends
	is.Equal(commander.Run(ctx, args, programs, nil, io.Discard, io.Discard), commander.ExitUnreachable)
}
