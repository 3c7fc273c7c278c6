// Package measurer measures what each role of heathermux costs at growing
// sizes and works out the cost at the target size of the design.
//
// It drives the real packages at their interfaces, with stand-ins for what is
// around them. Processor time is that of the process (getrusage), so that
// other load on the machine changes the figures little.
package measurer

import (
	"context"
	"regexp"

	"github.com/pkg/errors"
)

// Options selects what is measured. The zero value measures everything.
type Options struct {
	// Only is a regular expression; a probe whose "role: name" does not match
	// is left out.
	Only string
	// Progress is called before each probe; nil does nothing.
	Progress func(probe string)
}

// Run measures all selected probes, one after the other.
func Run(ctx context.Context, opts Options) (Report, error) {
	only, err := regexp.Compile(opts.Only)
	if err != nil {
		return Report{}, errors.Wrap(err, "measurer: only")
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
