package loader

import (
	"fmt"
	"regexp"
	"strconv"
)

// maxRangeHosts limits the hosts in one range, so that a mistyped number can't
// exhaust the memory.
const maxRangeHosts = 10_000

var rangePattern = regexp.MustCompile(`^([a-z0-9.-]*)\[(\d{1,9})-(\d{1,9})\]([a-z0-9.-]*)$`)

// expandName returns the host names in a range such as "w-[1-12]". If the first
// number has leading zeros, all numbers are padded to its width. A name without
// brackets is returned as it is.
func expandName(text string) ([]string, error) {
	if namePattern.MatchString(text) {
		return []string{text}, nil
	}
	m := rangePattern.FindStringSubmatch(text)
	if m == nil {
		return nil, fmt.Errorf("loader: %q is neither a name nor a range", text)
	}
	first, _ := strconv.Atoi(m[2])
	last, _ := strconv.Atoi(m[3])
	if last < first || last-first >= maxRangeHosts {
		return nil, fmt.Errorf("loader: range %q is empty or has more than %d hosts", text, maxRangeHosts)
	}
	names := make([]string, 0, last-first+1)
	for i := first; i <= last; i++ {
		name := fmt.Sprintf("%s%0*d%s", m[1], paddingWidth(m[2]), i, m[4])
		if !namePattern.MatchString(name) {
			return nil, fmt.Errorf("loader: %q is not a name", name)
		}
		names = append(names, name)
	}
	return names, nil
}

// paddingWidth returns the width to which numbers are padded with zeros; 0 means
// no padding.
func paddingWidth(digits string) int {
	if len(digits) > 1 && digits[0] == '0' {
		return len(digits)
	}
	return 0
}
