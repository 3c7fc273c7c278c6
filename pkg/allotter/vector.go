package allotter

// Vector is an amount of several resources. The zero value is nothing.
type Vector struct {
	// MilliCores is processors in thousandths of a core.
	MilliCores int64
	// MemoryBytes is memory in bytes.
	MemoryBytes int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// each combines two vectors part by part.
func each(a, b Vector, f func(a, b int64) int64) Vector {
	return Vector{
		MilliCores:   f(a.MilliCores, b.MilliCores),
		MemoryBytes:  f(a.MemoryBytes, b.MemoryBytes),
		Accelerators: f(a.Accelerators, b.Accelerators),
	}
}

// Plus returns the sum.
func (v Vector) Plus(w Vector) Vector {
	return each(v, w, func(a, b int64) int64 { return a + b })
}

// Minus returns the difference; parts may become negative.
func (v Vector) Minus(w Vector) Vector {
	return each(v, w, func(a, b int64) int64 { return a - b })
}

// Min returns the smaller of each part.
func (v Vector) Min(w Vector) Vector {
	return each(v, w, func(a, b int64) int64 { return min(a, b) })
}

// Max returns the larger of each part.
func (v Vector) Max(w Vector) Vector {
	return each(v, w, func(a, b int64) int64 { return max(a, b) })
}

// FitsIn reports whether no part of v is larger than that of w.
func (v Vector) FitsIn(w Vector) bool {
	return v.Min(w) == v
}
