// Package allotter divides the limit of a whole fleet among holders that act
// independently, such as the schedulers of data centres.
//
// Each holder may use its allotment even while it is unreachable. An allotment
// is therefore reduced in two steps: first the holder is given a lower target,
// and the amount follows once the holder has confirmed that it uses no more.
// Only free capacity is given to others, so the sum of all amounts never
// exceeds the limit. The functions are pure and keep no state.
package allotter

// Holder is one part of the fleet with its allotment of one limit.
type Holder struct {
	// Name identifies the holder.
	Name string
	// Amount is the most that the holder may use at present.
	Amount Vector
	// Target is the amount that the holder was asked to reduce its use to.
	// Invariant: fits in Amount.
	Target Vector
	// Use is what the holder reported to be using.
	Use Vector
	// Demand is what the holder uses plus what its waiting work needs.
	Demand Vector
	// Confirmed reports whether the holder reported Use after it had received
	// Target.
	Confirmed bool
	// MayGrow reports whether the holder's amount may be increased.
	MayGrow bool
	// Reclaimable reports whether the holder is unreachable and all its work is known
	// to have ended, so that its whole amount may be given to others.
	Reclaimable bool
}

// Change is a new allotment of one holder.
type Change struct {
	Name   string
	Amount Vector
	Target Vector
}

// Policy decides how a limit is divided once all reductions are confirmed.
type Policy interface {
	// Shares returns the part of the limit that each holder should have, in
	// the order of holders. The sum must not exceed the limit.
	Shares(limit Vector, holders []Holder) []Vector
}

// Allot returns the allotments that have to change. The sum of the new amounts
// does not exceed the limit. If it exceeds the limit already, because the limit
// was lowered, it does not grow.
func Allot(limit Vector, holders []Holder, policy Policy) []Change {
	shares := policy.Shares(limit, holders)
	next := make([]Change, len(holders))
	free := limit
	for i, h := range holders {
		next[i] = shrink(h, shares[i])
		free = free.Minus(next[i].Amount)
	}
	free = free.Max(Vector{})
	for i, h := range holders {
		if !h.MayGrow || h.Reclaimable {
			continue
		}
		growth := shares[i].Minus(next[i].Amount).Max(Vector{}).Min(free)
		next[i].Amount = next[i].Amount.Plus(growth)
		next[i].Target = next[i].Target.Max(shares[i].Min(next[i].Amount))
		free = free.Minus(growth)
	}
	return changed(holders, next)
}

// shrink lowers the target to the share, and the amount as far as the holder has
// confirmed.
func shrink(h Holder, share Vector) Change {
	if h.Reclaimable {
		return Change{
			Name: h.Name,
		}
	}
	c := Change{
		Name:   h.Name,
		Amount: h.Amount,
		Target: h.Amount.Min(share),
	}
	if h.Confirmed {
		// The holder starts no work beyond the target that it has received.
		c.Amount = h.Amount.Min(h.Target.Max(h.Use))
		c.Target = c.Target.Min(c.Amount)
	}
	return c
}

func changed(holders []Holder, next []Change) []Change {
	var changes []Change
	for i, h := range holders {
		if next[i].Amount != h.Amount || next[i].Target != h.Target {
			changes = append(changes, next[i])
		}
	}
	return changes
}
