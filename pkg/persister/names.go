package persister

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	temporary      = ".new"
)

func (s *Store) segmentName(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", segmentPrefix, number))
}

func (s *Store) snapshotName(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", snapshotPrefix, index))
}

// numbered returns the numbers of the files with a prefix, ascending as the
// sorted names are.
func numbered(names []string, prefix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if n, err := strconv.ParseUint(digits, 10, 64); ok && err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// HasLog reports whether a folder with files of these names holds a log.
func HasLog(names []string) bool { return len(numbered(names, segmentPrefix)) > 0 }
