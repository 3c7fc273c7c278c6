// Package measurer measures the processor time, memory and traffic of each role of
// heathermux at several sizes, and extrapolates them to the design's target size.
//
// It calls the real packages through their interfaces, with test doubles for their
// dependencies. Processor time is that of the process (getrusage), so that
// other load on the machine has little effect on the results.
package measurer

import (
	"context"
	"regexp"

	"github.com/pkg/errors"
)

// Options selects what is measured. The zero value measures everything.
type Options struct {
	// Only is a regular expression; only probes whose "role: name" matches are
	// run.
	Only string
	// Progress is called with the title of each probe before it runs; it may be
	// nil.
	Progress func(probe string)
}

// Run runs the selected probes one after the other. It stops at the first error.
func Run(ctx context.Context, opts Options) (Report, error) {
	only, err := regexp.Compile(opts.Only)
	if err != nil {
		return Report{}, errors.Wrap(err, "measurer: regular expression of the option only")
	}
	var report Report
	for _, p := range probes() {
		if !only.MatchString(p.title()) {
			continue
		}
		if opts.Progress != nil {
			opts.Progress(p.title())
		}
		lines, err := p.run(ctx)
		if err != nil {
			return Report{}, errors.Wrapf(err, "measurer: %s", p.title())
		}
		report.Lines = append(report.Lines, lines...)
	}
	return report, nil
}

func probes() []probe {
	var all []probe
	for _, part := range [][]probe{
		controlProbes(),
		leaderProbes(),
		followProbes(),
		schedulerProbes(),
		workerProbes(),
		operatorProbes(),
		directoryProbes(),
		registryProbes(),
		processProbes(),
	} {
		all = append(all, part...)
	}
	return all
}
