package allotter_test

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of drawn values, so that every run has the same
// verdict; -rapid.seed chooses another one.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
