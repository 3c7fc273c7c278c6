package persister

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
)

func (s *Store) segmentName(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", segmentPrefix, number))
}

func (s *Store) snapshotName(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", snapshotPrefix, index))
}

// parseNumbers returns the numbers in the names that start with prefix, in the
// order of names. Sorted names give ascending numbers because the digits are
// zero-padded.
func parseNumbers(names []string, prefix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if n, err := strconv.ParseUint(digits, 10, 64); ok && err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// HasLog reports whether a directory with files of these names contains a log.
func HasLog(names []string) bool { return len(parseNumbers(names, segmentPrefix)) > 0 }
