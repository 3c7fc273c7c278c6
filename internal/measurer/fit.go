package measurer

import "math"

// Fit is a least-squares line through measured values.
type Fit struct {
	// Intercept is the value at size 0, and Slope the increase per unit of size.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square error of the line, relative to the mean
	// value. A large one means that the cost is not linear or that other load
	// disturbed the measurement.
	Residual float64 `json:"residual"`
}

// leastSquares fits a line. The sizes must not all be equal, or it divides by zero.
func leastSquares(sizes []int, values []float64) Fit {
	n := float64(len(sizes))
	var meanX, meanY float64
	for i, x := range sizes {
		meanX += float64(x) / n
		meanY += values[i] / n
	}
	var xx, xy float64
	for i, x := range sizes {
		dx := float64(x) - meanX
		xx += dx * dx
		xy += dx * (values[i] - meanY)
	}
	f := Fit{
		Slope: xy / xx,
	}
	f.Intercept = meanY - f.Slope*meanX
	var squares float64
	for i, x := range sizes {
		d := values[i] - f.at(float64(x))
		squares += d * d / n
	}
	if meanY != 0 {
		f.Residual = math.Sqrt(squares) / math.Abs(meanY)
	}
	return f
}

func (f Fit) at(size float64) float64 { return f.Intercept + f.Slope*size }
