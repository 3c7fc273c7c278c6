package loader_test

import (
	"bytes"
	"testing"

	"github.com/heathermux/heathermux/internal/loader"
)

func checkPositions(t *testing.T, data []byte, problems loader.Problems) {
	lines := bytes.Split(data, []byte("\n"))
	for _, p := range problems {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 {
			t.Errorf("position outside of the file: %s", p)
		}
	}
}

// Guards against a file that stops the process or is reported at a place that
// it does not have.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := loader.ParseSettings("s", data)
		checkPositions(t, data, problems)
	})
}

// Guards against a deployment without problems that can't be converted, or
// that has a host in two pools.
func FuzzParseDeployment(f *testing.F) {
	f.Add([]byte(goodDeployment))
	f.Fuzz(func(t *testing.T, data []byte) {
		dep, problems := loader.ParseDeployment("d", data)
		checkPositions(t, data, problems)
		if len(problems) > 0 {
			return
		}
		seen := make(map[string]bool)
		for _, h := range dep.Snapshot().GetHosts() {
			if seen[h.GetName()] {
				t.Errorf("host %q is listed twice", h.GetName())
			}
			seen[h.GetName()] = true
		}
	})
}
