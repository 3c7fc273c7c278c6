package allotter

// Vector is an amount of several resources. The zero value has none of any.
type Vector struct {
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64
	// MemoryBytes is the size of the memory in bytes.
	MemoryBytes int64
	// Accelerators is the number of whole accelerators.
	Accelerators int64
}

// combine applies f to each pair of components.
func combine(a, b Vector, f func(a, b int64) int64) Vector {
	return Vector{
		MilliCores:   f(a.MilliCores, b.MilliCores),
		MemoryBytes:  f(a.MemoryBytes, b.MemoryBytes),
		Accelerators: f(a.Accelerators, b.Accelerators),
	}
}

// Plus returns the sum by component.
func (v Vector) Plus(w Vector) Vector {
	return combine(v, w, func(a, b int64) int64 { return a + b })
}

// Minus returns the difference by component; components may become negative.
func (v Vector) Minus(w Vector) Vector {
	return combine(v, w, func(a, b int64) int64 { return a - b })
}

// Min returns the minimum of each component.
func (v Vector) Min(w Vector) Vector {
	return combine(v, w, func(a, b int64) int64 { return min(a, b) })
}

// Max returns the maximum of each component.
func (v Vector) Max(w Vector) Vector {
	return combine(v, w, func(a, b int64) int64 { return max(a, b) })
}

// FitsIn reports whether no component of v is larger than that of w.
func (v Vector) FitsIn(w Vector) bool {
	return v.Min(w) == v
}
