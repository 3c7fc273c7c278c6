package measurer

import (
	"context"
)

// probe measures one thing at several sizes.
type probe struct {
	role, name string
	// axis is what the sizes count.
	axis    string
	sizes   []int
	metrics []metric
	// measure returns values that the metrics name by index.
	measure func(ctx context.Context, n int) ([]float64, error)
}

// metric is one result of a probe and how it counts at the target size.
type metric struct {
	name string
	// value is the index in what measure returns.
	value int
	unit  unit
	// target is the size that the fit is evaluated at.
	target float64
	// rate is how often a second it happens at the target; 0 for a level.
	rate float64
	// bound is in the unit of the load; 0 means that the design sets none.
	bound float64
}

// unit names the unit of a measured value and of the load that follows from it.
type unit struct {
	value, load string
	// factor converts value times rate into the unit of the load.
	factor float64
}

var (
	// nanoseconds of processor time become percent of a core.
	cpuTime = unit{
		value:  "ns",
		load:   "% core",
		factor: 1e-7,
	}
	// bytes at a rate become bytes a second.
	traffic = unit{
		value:  "B",
		load:   "B/s",
		factor: 1,
	}
	// bytes held become megabytes.
	memory = unit{
		value:  "B",
		load:   "MB",
		factor: 1e-6,
	}
	// processor time of one call in milliseconds.
	duration = unit{
		value:  "ns",
		load:   "ms",
		factor: 1e-6,
	}
)

func (p probe) title() string { return p.role + ": " + p.name }

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
