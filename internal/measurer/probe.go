package measurer

import (
	"context"
)

// probe measures one operation or data structure at several sizes.
type probe struct {
	role, name string
	// axis names what the sizes count.
	axis    string
	sizes   []int
	metrics []metric
	// measure returns the values at size n; the metrics select them by index.
	measure func(ctx context.Context, n int) ([]float64, error)
}

// metric is one result of a probe, with the parameters of its extrapolation to the
// target size.
type metric struct {
	name string
	// value is the index into the result of measure.
	value int
	unit  unit
	// target is the size at which the fit is evaluated.
	target float64
	// rate is how often per second the cost arises at the target; 0 for a cost
	// that is not multiplied, such as memory.
	rate float64
	// bound is the highest permitted load, in the unit of the load; 0 means that
	// the design sets none.
	bound float64
}

// unit has the units of a measured value and of the load computed from it.
type unit struct {
	value, load string
	// factor converts value times rate into the unit of the load.
	factor float64
}

var (
	// cpuTime converts nanoseconds of processor time into percent of a core.
	cpuTime = unit{
		value:  "ns",
		load:   "% core",
		factor: 1e-7,
	}
	// traffic converts bytes at a rate into bytes per second.
	traffic = unit{
		value:  "B",
		load:   "B/s",
		factor: 1,
	}
	// memory converts bytes into megabytes.
	memory = unit{
		value:  "B",
		load:   "MB",
		factor: 1e-6,
	}
	// duration converts the processor time of one call into milliseconds.
	duration = unit{
		value:  "ns",
		load:   "ms",
		factor: 1e-6,
	}
)

func (p probe) title() string { return p.role + ": " + p.name }

// run measures all sizes and returns one line for each metric.
func (p probe) run(ctx context.Context) ([]Line, error) {
	values := make([][]float64, 0, len(p.sizes))
	for _, n := range p.sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		v, err := p.measure(ctx, n)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
	lines := make([]Line, 0, len(p.metrics))
	for _, m := range p.metrics {
		column := make([]float64, len(values))
		for i, v := range values {
			column[i] = v[m.value]
		}
		lines = append(lines, p.line(m, column))
	}
	return lines, nil
}

func (p probe) line(m metric, values []float64) Line {
	f := leastSquares(p.sizes, values)
	rate := m.rate
	if rate == 0 {
		rate = 1
	}
	load := f.at(m.target) * rate * m.unit.factor
	return Line{
		Role:       p.role,
		Name:       p.name,
		Metric:     m.name,
		Axis:       p.axis,
		Sizes:      p.sizes,
		Values:     values,
		Unit:       m.unit.value,
		Fit:        f,
		TargetSize: m.target,
		Rate:       m.rate,
		Load:       load,
		LoadUnit:   m.unit.load,
		Bound:      m.bound,
		Over:       m.bound > 0 && load > m.bound,
	}
}
