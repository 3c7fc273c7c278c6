package loader_test

import (
	"bytes"
	"testing"

	"github.com/heathermux/heathermux/internal/loader"
)

// checkPositions fails the test if a problem has a position outside of the file.
func checkPositions(t *testing.T, data []byte, problems loader.Problems) {
	lines := bytes.Split(data, []byte("\n"))
	for _, p := range problems {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Column > len(lines[p.Line-1])+1 {
			t.Errorf("position outside of the file: %s", p)
		}
	}
}

// No settings file may cause a panic or a problem at a position outside of the
// file.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := loader.ParseSettings("s", data)
		checkPositions(t, data, problems)
	})
}

// No deployment file without problems may fail to be converted or have a host in
// two pools.
func FuzzParseDeployment(f *testing.F) {
	f.Add([]byte(validDeployment))
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
