package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/heathermux/heathermux/internal/commander"
	"github.com/heathermux/heathermux/pkg/timer"
)

var (
	pageCommand  = regexp.MustCompile(`(?m)^    (?:data/qhapaq/)?heathermux (.*)$`)
	pageExitCode = regexp.MustCompile(`# exit (\d)$`)
)

// Guards against a documentation page with a command that doesn't work as written.
// The page states each exit code other than 0 in a comment after the command.
func TestCommandsOfPages(t *testing.T) {
	t.Chdir("../..")
	pages, _ := filepath.Glob("docs/operators/*.md")
	for _, page := range append(pages, "README.md") {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			_, server := newHost(t)
			t.Setenv("HEATHERMUX_SERVER", server.URL)
			t.Setenv("HEATHERMUX_KEY", "example-qhapaq-operator")
			file := filepath.Join(t.TempDir(), "contract.jsonc")
			for _, m := range pageCommand.FindAllStringSubmatch(string(text), -1) {
				runPageCommand(t, strings.ReplaceAll(m[1], "feria-central.jsonc", file))
			}
		})
	}
}

func runPageCommand(t *testing.T, line string) {
	t.Helper()
	want := commander.ExitDone
	if m := pageExitCode.FindStringSubmatch(line); m != nil {
		want, _ = strconv.Atoi(m[1])
	}
	words, _, _ := strings.Cut(line, " #")
	words, file, redirected := strings.Cut(words, " > ")
	var out, errors bytes.Buffer
	programs := commander.Programs{
		Clock: instantClock{timer.NewFake(epoch)},
	}
	if code := commander.Run(t.Context(), strings.Fields(words), programs, nil, &out, &errors); code != want {
		t.Errorf("%s: exit code %d, want %d: %s", line, code, want, &errors)
	}
	if redirected {
		if err := os.WriteFile(file, out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
