package controller_test

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid tests, so that every run has the same
// result. -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
