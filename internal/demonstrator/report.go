package demonstrator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
)

// report has the results of one run.
type report struct {
	deployment loader.Deployment
	tally      *tally
	submitted  *submissionCounts
	jobs       *jobCounts
	jobRuns    *jobRuns
	starts     []emulator.Start
	// begin and end delimit the time in which load was generated.
	begin, end time.Time
	zone       zoneChange
	key        keyChange
	zoneErr    error
	keyErr     error
	stopErr    error
	// duplicateRuns counts operations with an idempotency key that ran more than
	// once, falseNotRun all operations that ran although the caller was told
	// "not-run".
	duplicateRuns, falseNotRun int
}

// countViolations compares the results that callers saw with the upstreams'
// record of what ran.
func (r *report) countViolations(ledger *emulator.Ledger) {
	for _, operation := range r.tally.operations {
		if ledger.Runs(operation) > 1 {
			r.duplicateRuns++
		}
	}
	for _, operation := range r.tally.notRun {
		if ledger.Runs(operation) > 0 {
			r.falseNotRun++
		}
	}
}

// startsWhileOut counts the tasks that started in the data centre while it was
// out of service.
func (r *report) startsWhileOut() int {
	n := 0
	for _, s := range r.starts {
		if s.DataCentre == r.zone.name && s.At.After(r.zone.outEffective) && s.At.Before(r.zone.inRequested) {
			n++
		}
	}
	return n
}

// urgentStarts returns how many urgent tasks were started, and the longest time
// from the submission of one to its start on a worker.
func (r *report) urgentStarts() (started int, slowest time.Duration) {
	for _, s := range r.starts {
		if sent, ok := r.submitted.urgent[s.Task]; ok {
			started++
			slowest = max(slowest, s.At.Sub(sent))
		}
	}
	return started, slowest
}

// startRate returns the task starts per second in all data centres between two
// times.
func (r *report) startRate(from, to time.Time) float64 {
	n := 0
	for _, s := range r.starts {
		if s.At.After(from) && s.At.Before(to) {
			n++
		}
	}
	if seconds := to.Sub(from).Seconds(); seconds > 0 {
		return float64(n) / seconds
	}
	return 0
}

// check returns an error that lists every failed check, or nil.
func (r *report) check() error {
	failed := make([]string, 0)
	require := func(ok bool, format string, args ...any) {
		if !ok {
			failed = append(failed, fmt.Sprintf(format, args...))
		}
	}
	require(r.zoneErr == nil, "zone change: %v", r.zoneErr)
	require(r.keyErr == nil, "key withdrawal: %v", r.keyErr)
	require(r.stopErr == nil, "planned stop: %v", r.stopErr)
	require(r.tally.answered > 0, "no request was answered")
	require(len(r.starts) > 0, "no task was started")
	require(len(r.jobs.accepted) > 0, "no job was accepted")
	require(r.jobs.completed == len(r.jobs.accepted), "%d accepted jobs were not completed", len(r.jobs.accepted)-r.jobs.completed)
	require(r.jobRuns.duplicateStarts == 0, "%d tasks of jobs ran twice", r.jobRuns.duplicateStarts)
	require(r.duplicateRuns == 0, "%d operations ran twice", r.duplicateRuns)
	require(r.falseNotRun == 0, "%d operations ran although the caller was told that they did not", r.falseNotRun)
	require(r.tally.mismatchedResponses == 0, "%d callers got the answer to another request", r.tally.mismatchedResponses)
	require(r.startsWhileOut() == 0, "%d tasks started in a data centre that was out", r.startsWhileOut())
	if r.keyErr == nil {
		require(r.key.refused, "the withdrawn key is still accepted")
		require(!r.key.lastAccepted.After(r.key.effective), "the withdrawn key was accepted %s after its withdrawal was in force", r.key.lastAccepted.Sub(r.key.effective))
	}
	if len(failed) > 0 {
		return errors.New("demonstrator: checks failed: " + strings.Join(failed, "; "))
	}
	return nil
}

// write prints the table.
func (r *report) write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	total := r.tally.answered + r.tally.refused + r.tally.unknown
	row("requests", total)
	row("  answered", r.tally.answered)
	row("  refused as not run", r.tally.refused)
	row("  outcome unknown", r.tally.unknown)
	row("  resends by callers", r.tally.resends)
	row("  answer time p50, p99 (ms)", fmt.Sprintf("%.1f, %.1f", r.milliseconds(50), r.milliseconds(99)))
	row("run twice (must be 0)", r.duplicateRuns)
	row("false \"not run\" (must be 0)", r.falseNotRun)
	row("answers of another request (must be 0)", r.tally.mismatchedResponses)
	row("tasks accepted", len(r.submitted.accepted))
	row("tasks started", len(r.starts))
	row("jobs accepted, completed", fmt.Sprintf("%d, %d", len(r.jobs.accepted), r.jobs.completed))
	row("tasks of jobs done", len(r.jobRuns.completed))
	row("tasks of jobs run twice (must be 0)", r.jobRuns.duplicateStarts)
	started, slowest := r.urgentStarts()
	row("urgent tasks accepted, started", fmt.Sprintf("%d, %d", len(r.submitted.urgent), started))
	row("slowest urgent start", seconds(slowest))
	row("starts in "+r.zone.name+" while out (must be 0)", r.startsWhileOut())
	row("task starts a second before, while out, after", fmt.Sprintf("%.0f, %.0f, %.0f",
		r.startRate(r.begin, r.zone.outRequested), r.startRate(r.zone.outRequested, r.zone.inRequested), r.startRate(r.zone.inRequested, r.end)))
	row("zone out in force after", seconds(r.zone.outEffective.Sub(r.zone.outRequested)))
	row("zone in in force after", seconds(r.zone.inEffective.Sub(r.zone.inRequested)))
	row("key withdrawal in force after", seconds(r.key.effective.Sub(r.key.requested)))
	row("last use of the withdrawn key after", seconds(max(0, r.key.lastAccepted.Sub(r.key.requested))))
	r.writeShares(row)
	writeCounts(row, "refusals of requests", r.tally.refusals)
	writeCounts(row, "refusals of tasks", r.submitted.refused)
	writeCounts(row, "refusals of jobs", r.jobs.refused)
	_ = t.Flush()
}

// writeShares prints the number of task starts of each team beside its configured
// share.
func (r *report) writeShares(row func(string, any)) {
	started := make(map[string]int)
	for _, s := range r.starts {
		started[s.Team]++
	}
	for _, c := range r.deployment.Contracts {
		for _, team := range c.Teams {
			row("task starts of "+team.Name, fmt.Sprintf("%d (share %d)", started[team.Name], team.Share))
		}
	}
}

// writeCounts prints the maxRows most frequent entries under the title.
func writeCounts(row func(string, any), title string, counts map[string]int) {
	const maxRows = 5
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for i, name := range names[:min(len(names), maxRows)] {
		if i == 0 {
			row(title, "")
		}
		row("  "+name, counts[name])
	}
}

// milliseconds returns a percentile of the response times.
func (r *report) milliseconds(percentile float64) float64 {
	return float64(r.tally.latency.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
