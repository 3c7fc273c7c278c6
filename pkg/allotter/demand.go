package allotter

// ByDemand divides a limit in proportion to demand. A part of the limit is
// divided equally, so that a holder without demand can start the first work of
// a peak without a change of allotments.
type ByDemand struct {
	// EqualPart is the part of the limit that is divided equally, as a divisor:
	// 4 means a quarter. Zero means none.
	EqualPart int64
	// Slack keeps a holder's allotment as it is while its share differs from it
	// by less than this part of the limit, as a divisor. Zero means no slack.
	// Without slack every change of demand would change every allotment.
	Slack int64
}

// Shares implements Policy.
func (p ByDemand) Shares(limit Vector, holders []Holder) []Vector {
	shares := make([]Vector, len(holders))
	var open int64
	var demand Vector
	for _, h := range holders {
		if h.Open {
			open++
			demand = demand.Plus(h.Demand)
		}
	}
	if open == 0 {
		return shares
	}
	for i, h := range holders {
		if h.Open {
			shares[i] = p.share(limit, h, demand, open)
		}
	}
	p.keepSettled(limit, holders, shares)
	return shares
}

func (p ByDemand) share(limit Vector, h Holder, demand Vector, open int64) Vector {
	var equal Vector
	if p.EqualPart > 0 {
		equal = each(limit, Vector{}, func(l, _ int64) int64 { return l / p.EqualPart })
	}
	rest := limit.Minus(equal)
	weight := each(h.Demand, demand, func(d, total int64) int64 { return ratio(d, total, open) })
	byDemand := each(rest, weight, func(l, w int64) int64 { return scale(l, w) })
	return byDemand.Plus(each(equal, Vector{}, func(l, _ int64) int64 { return l / open }))
}

// weightUnit is the fixed-point unit of ratios. Memory limits of a petabyte
// still fit into 64 bits when scaled by parts.
const weightUnit = 1 << 12

// ratio returns d/total in units of 1/weightUnit, and an equal part without demand.
func ratio(d, total, open int64) int64 {
	if total <= 0 {
		return weightUnit / open
	}
	return int64(float64(d) / float64(total) * weightUnit)
}

// scale returns l*w/weightUnit without overflow.
func scale(l, w int64) int64 {
	return l/weightUnit*w + l%weightUnit*w/weightUnit
}

// keepSettled replaces the shares by the present amounts when no holder is far
// from its share and all present amounts fit in the limit.
func (p ByDemand) keepSettled(limit Vector, holders []Holder, shares []Vector) {
	if p.Slack <= 0 {
		return
	}
	var sum Vector
	for i, h := range holders {
		sum = sum.Plus(h.Amount)
		if !p.near(limit, h.Amount, shares[i]) || (!h.Open && h.Amount != Vector{}) || starved(h) {
			return
		}
	}
	if !sum.FitsIn(limit) {
		return
	}
	for i, h := range holders {
		shares[i] = h.Amount
	}
}

// starved reports whether a holder with demand has next to nothing.
func starved(h Holder) bool {
	return !h.Demand.FitsIn(h.Amount) && h.Amount == Vector{}
}

func (p ByDemand) near(limit, a, b Vector) bool {
	difference := a.Minus(b)
	difference = difference.Max(Vector{}.Minus(difference))
	return difference.FitsIn(each(limit, Vector{}, func(l, _ int64) int64 { return l / p.Slack }))
}
