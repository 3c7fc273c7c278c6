// Package allotter splits a limit that holds for a whole fleet among holders
// that act on their own, such as the schedulers of data centres.
//
// Each holder may use what it is allotted even while nobody can reach it. An
// allotment therefore shrinks in two steps: the holder is given a lower target,
// and the amount follows when the holder has confirmed that it uses no more.
// Only what is free is given to others, so the sum of all amounts never
// exceeds the limit. The functions are pure and keep no state.
package allotter

// Holder is one part of the fleet with its allotment of one limit.
type Holder struct {
	// Name identifies the holder.
	Name string
	// Amount is what it may use.
	Amount Vector
	// Target is what it was asked to shrink to. Invariant: fits in Amount.
	Target Vector
	// Use is what it reports to use.
	Use Vector
	// Demand is what it uses and waits for.
	Demand Vector
	// Confirmed tells that Use was reported after the holder had seen Target.
	Confirmed bool
	// Open tells that it may be given more.
	Open bool
	// Lost tells that all it ran is known to have ended.
	Lost bool
}

// Move is a new allotment of one holder.
type Move struct {
	Name   string
	Amount Vector
	Target Vector
}

// Policy decides how a limit should be divided in the long run.
type Policy interface {
	// Shares returns the part of the limit that each holder should have, in
	// the order of the holders. The sum must not exceed the limit.
	Shares(limit Vector, holders []Holder) []Vector
}

// Allot returns the allotments that have to change. The sum of the new amounts
// does not exceed the limit, or does not grow when it exceeds the limit
// already because the limit was lowered.
func Allot(limit Vector, holders []Holder, policy Policy) []Move {
	shares := policy.Shares(limit, holders)
	next := make([]Move, len(holders))
	free := limit
	for i, h := range holders {
		next[i] = shrink(h, shares[i])
		free = free.Minus(next[i].Amount)
	}
	free = free.Max(Vector{})
	for i, h := range holders {
		if !h.Open || h.Lost {
			continue
		}
		grown := shares[i].Minus(next[i].Amount).Max(Vector{}).Min(free)
		next[i].Amount = next[i].Amount.Plus(grown)
		next[i].Target = next[i].Target.Max(shares[i].Min(next[i].Amount))
		free = free.Minus(grown)
	}
	return changed(holders, next)
}

// shrink lowers the target to the share and the amount as far as is proved safe.
func shrink(h Holder, share Vector) Move {
	if h.Lost {
		return Move{
			Name: h.Name,
		}
	}
	m := Move{
		Name:   h.Name,
		Amount: h.Amount,
		Target: h.Amount.Min(share),
	}
	if h.Confirmed {
		// The holder starts nothing beyond the target that it has seen.
		m.Amount = h.Amount.Min(h.Target.Max(h.Use))
		m.Target = m.Target.Min(m.Amount)
	}
	return m
}

func changed(holders []Holder, next []Move) []Move {
	var moves []Move
	for i, h := range holders {
		if next[i].Amount != h.Amount || next[i].Target != h.Target {
			moves = append(moves, next[i])
		}
	}
	return moves
}
