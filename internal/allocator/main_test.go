package allocator_test

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the default seed of rapid, so that every run checks the same
// cases; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
