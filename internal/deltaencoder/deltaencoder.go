// Package deltaencoder reduces the size of follow calls between entry hosts by
// delta encoding. A Sender on the calling host sends only the entries of demand
// and report that changed since the last answered call; a Receiver on the
// voter's host reconstructs the full request. Allotments are returned in the
// same way.
//
// Follower and voter only see full messages. A delta is applied only if the
// receiving process holds exactly the request that the delta was computed from,
// so a lost call, a change of leader or a restart of either process leads to a
// full request and never to a stale entry.
package deltaencoder

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// exchange is an answered call with its full content. It is immutable.
type exchange struct {
	// peer is the caller's incarnation on the receiver, and the voter's name on
	// the sender.
	peer       string
	call       uint64
	request    *wire.FollowRequest
	allotments []*wire.RequestAllotment
}

// diff returns the entries of now that are missing from base or differ there,
// and the names of those that only base has. Both inputs and both results are
// sorted by name.
func diff[M proto.Message](base, now []M, name func(M) string) (changed []M, dropped []string) {
	for len(base) > 0 || len(now) > 0 {
		switch compareFirst(base, now, name) {
		case -1:
			dropped = append(dropped, name(base[0]))
			base = base[1:]
		case 1:
			changed = append(changed, now[0])
			now = now[1:]
		default:
			if !proto.Equal(base[0], now[0]) {
				changed = append(changed, now[0])
			}
			base, now = base[1:], now[1:]
		}
	}
	return changed, dropped
}

// applyDiff is the inverse of diff. Base and changed must be sorted by name.
func applyDiff[M proto.Message](base, changed []M, dropped []string, name func(M) string) []M {
	isDropped := make(map[string]bool, len(dropped))
	for _, d := range dropped {
		isDropped[d] = true
	}
	merged := make([]M, 0, len(base)+len(changed))
	for len(base) > 0 || len(changed) > 0 {
		ordering := compareFirst(base, changed, name)
		if ordering >= 0 {
			merged = append(merged, changed[0])
			changed = changed[1:]
		} else if !isDropped[name(base[0])] {
			merged = append(merged, base[0])
		}
		if ordering <= 0 {
			base = base[1:]
		}
	}
	return merged
}

// compareFirst compares the names of the first entries; an empty list comes
// last.
func compareFirst[M proto.Message](a, b []M, name func(M) string) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return cmp.Compare(name(a[0]), name(b[0]))
	}
}

// sorted returns the list sorted by name. It copies only lists that are not
// sorted already, which are rare.
func sorted[M proto.Message](list []M, name func(M) string) []M {
	compare := func(a, b M) int { return cmp.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compare)
	return list
}
