// Package sharer decides which of the waiting work of a pool is within the share of its
// account. The share is weighted max-min fair: each account gets what it asks for, or its
// weighted part of what the others leave.
//
// Load: one account that submits many times its usual, or jobs of many times the usual size,
// while its pool is at its peak. Without shares it takes the room of all others.
package sharer

import (
	"cmp"
	"slices"
)

// Claim is what one account holds and asks for in a pool, in hosts.
type Claim struct {
	// Weight is the account's part when all is full; values below 1 count as 1.
	Weight int64
	// Held is what its runs hold.
	Held float64
	// Waiting is what its waiting work would hold.
	Waiting float64
}

func (c Claim) weight() float64 { return float64(max(c.Weight, 1)) }

func (c Claim) demand() float64 { return c.Held + c.Waiting }

// Allot divides room, in hosts, among accounts by their claims. The sum of the shares is at
// most room; it is room if the accounts ask for as much.
func Allot(room float64, claims map[string]Claim) map[string]float64 {
	names := make([]string, 0, len(claims))
	weights := 0.0
	for name, c := range claims {
		names = append(names, name)
		weights += c.weight()
	}
	// Accounts that ask for the least for each unit of their weight are satisfied first;
	// what they leave is divided among the rest.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(claims[a].demand()/claims[a].weight(), claims[b].demand()/claims[b].weight()), cmp.Compare(a, b))
	})
	shares := make(map[string]float64, len(claims))
	for _, name := range names {
		c := claims[name]
		shares[name] = min(c.demand(), room*c.weight()/weights)
		room -= shares[name]
		weights -= c.weight()
	}
	return shares
}

// Ledger tells, for the work of a pool in the order in which it would start, whether it is
// within the share of its account.
type Ledger struct {
	shares map[string]float64
	held   map[string]float64
}

// NewLedger returns a ledger of the accounts that claim room.
func NewLedger(room float64, claims map[string]Claim) *Ledger {
	l := &Ledger{
		shares: Allot(room, claims),
		held:   make(map[string]float64, len(claims)),
	}
	for name, c := range claims {
		l.held[name] = c.Held
	}
	return l
}

// Admit reports whether an account is below its share, and counts hosts for it if so. Work
// that straddles the share is within it, so that each account can start at least one task.
func (l *Ledger) Admit(account string, hosts float64) bool {
	if l.held[account] >= l.shares[account] {
		return false
	}
	l.held[account] += hosts
	return true
}

// Share returns the hosts that an account may hold.
func (l *Ledger) Share(account string) float64 { return l.shares[account] }

// Held returns the hosts that an account holds, with those of the admitted work.
func (l *Ledger) Held(account string) float64 { return l.held[account] }
