// Package condenser keeps follow calls between entry hosts small. A Sender on
// the calling host sends only the entries of demand and report that changed
// since the last call that was answered; a Receiver on the voter's host puts
// the whole request together again. Allotments travel back in the same way.
//
// Follower and voter see whole messages only. A difference is used only when
// the process that receives it holds exactly the request that it is a
// difference to, so a lost call, a change of leader or a restart of either
// process leads to a whole request and never to a stale entry.
package condenser

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// exchange is one answered call, with whole content. It is never changed.
type exchange struct {
	// peer is the incarnation of the caller on the receiver, and the name of
	// the voter on the sender.
	peer       string
	call       uint64
	request    *wire.FollowRequest
	allotments []*wire.RequestAllotment
}

// differ returns the entries of now that base lacks or holds otherwise, and
// the names of those that only base has. Both lists are sorted by name.
func differ[M proto.Message](base, now []M, name func(M) string) (changed []M, dropped []string) {
	for len(base) > 0 || len(now) > 0 {
		switch order(base, now, name) {
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

// merge undoes differ. Base and changed are sorted by name.
func merge[M proto.Message](base, changed []M, dropped []string, name func(M) string) []M {
	gone := make(map[string]bool, len(dropped))
	for _, d := range dropped {
		gone[d] = true
	}
	whole := make([]M, 0, len(base)+len(changed))
	for len(base) > 0 || len(changed) > 0 {
		at := order(base, changed, name)
		if at >= 0 {
			whole = append(whole, changed[0])
			changed = changed[1:]
		} else if !gone[name(base[0])] {
			whole = append(whole, base[0])
		}
		if at <= 0 {
			base = base[1:]
		}
	}
	return whole
}

// order compares the first names; an empty list comes last.
func order[M proto.Message](a, b []M, name func(M) string) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return cmp.Compare(name(a[0]), name(b[0]))
	}
}

// sorted returns the list by name. Most lists are sorted already.
func sorted[M proto.Message](list []M, name func(M) string) []M {
	compare := func(a, b M) int { return cmp.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compare)
	return list
}
