package allotter

// ByDemand is a Policy that divides a limit in proportion to demand. A part of
// the limit is divided equally, so that a holder without demand can start the
// first work of a peak before the allotments change.
type ByDemand struct {
	// EqualPartDivisor is the divisor that gives the part of the limit that is divided
	// equally: 4 means a quarter. Zero means none.
	EqualPartDivisor int64
	// SlackDivisor is the divisor that gives the tolerated difference between amounts
	// and shares: 16 means a sixteenth of the limit. While no holder's amount
	// differs from its share by more, all amounts stay as they are. Zero means no
	// tolerance; then every change of demand changes every allotment.
	SlackDivisor int64
}

// Shares implements Policy. Holders that are not open get nothing.
func (p ByDemand) Shares(limit Vector, holders []Holder) []Vector {
	shares := make([]Vector, len(holders))
	var openHolders int64
	var totalDemand Vector
	for _, h := range holders {
		if h.MayGrow {
			openHolders++
			totalDemand = totalDemand.Plus(h.Demand)
		}
	}
	if openHolders == 0 {
		return shares
	}
	for i, h := range holders {
		if h.MayGrow {
			shares[i] = p.share(limit, h, totalDemand, openHolders)
		}
	}
	p.keepWithinSlack(limit, holders, shares)
	return shares
}

func (p ByDemand) share(limit Vector, h Holder, totalDemand Vector, openHolders int64) Vector {
	var equalPool Vector
	if p.EqualPartDivisor > 0 {
		equalPool = combine(limit, Vector{}, func(l, _ int64) int64 { return l / p.EqualPartDivisor })
	}
	demandPool := limit.Minus(equalPool)
	ratios := combine(h.Demand, totalDemand, func(d, total int64) int64 { return ratio(d, total, openHolders) })
	demandShare := combine(demandPool, ratios, func(l, w int64) int64 { return scale(l, w) })
	return demandShare.Plus(combine(equalPool, Vector{}, func(l, _ int64) int64 { return l / openHolders }))
}

// ratioUnit is the value that stands for a ratio of 1 in fixed-point arithmetic.
// With scale, which multiplies quotient and remainder separately, memory limits
// of a petabyte still fit into 64 bits.
const ratioUnit = 1 << 12

// ratio returns demand/totalDemand in units of 1/ratioUnit, or the ratio of an
// equal division if there is no demand at all.
func ratio(demand, totalDemand, openHolders int64) int64 {
	if totalDemand <= 0 {
		return ratioUnit / openHolders
	}
	return int64(float64(demand) / float64(totalDemand) * ratioUnit)
}

// scale returns limit*ratio/ratioUnit without an overflow of the product.
func scale(limit, ratio int64) int64 {
	return limit/ratioUnit*ratio + limit%ratioUnit*ratio/ratioUnit
}

// keepWithinSlack replaces the shares by the present amounts if every holder's
// amount is within the slack of its share and the amounts fit in the limit. It
// does nothing if a holder that is not open has an amount, or if one has demand
// but no amount.
func (p ByDemand) keepWithinSlack(limit Vector, holders []Holder, shares []Vector) {
	if p.SlackDivisor <= 0 {
		return
	}
	var sum Vector
	for i, h := range holders {
		sum = sum.Plus(h.Amount)
		if !p.withinSlack(limit, h.Amount, shares[i]) || (!h.MayGrow && h.Amount != Vector{}) || hasDemandWithoutAmount(h) {
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

// hasDemandWithoutAmount reports whether the holder has demand but no amount.
func hasDemandWithoutAmount(h Holder) bool {
	return !h.Demand.FitsIn(h.Amount) && h.Amount == Vector{}
}

func (p ByDemand) withinSlack(limit, a, b Vector) bool {
	difference := a.Minus(b)
	difference = difference.Max(Vector{}.Minus(difference))
	return difference.FitsIn(combine(limit, Vector{}, func(l, _ int64) int64 { return l / p.SlackDivisor }))
}
