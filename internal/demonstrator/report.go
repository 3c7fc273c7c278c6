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

// report is what one run showed.
type report struct {
	deployment loader.Deployment
	tally      *tally
	submitted  *submissions
	jobs       *jobCounts
	jobRuns    *jobRuns
	starts     []emulator.Start
	// begin and end are those of the load.
	begin, end time.Time
	zone       zoneChange
	key        keyChange
	zoneErr    error
	keyErr     error
	stopErr    error
	// runTwice and falseNotRun are counted against the ledger.
	runTwice, falseNotRun int
}

// count compares what callers saw with what upstreams ran.
func (r *report) count(ledger *emulator.Ledger) {
	for _, operation := range r.tally.operations {
		if ledger.Runs(operation) > 1 {
			r.runTwice++
		}
	}
	for _, operation := range r.tally.notRun {
		if ledger.Runs(operation) > 0 {
			r.falseNotRun++
		}
	}
}

// startsOut counts the tasks that started in the data centre while it was out.
func (r *report) startsOut() int {
	n := 0
	for _, s := range r.starts {
		if s.DataCentre == r.zone.name && s.At.After(r.zone.outForce) && s.At.Before(r.zone.inAsked) {
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

// startRate returns the task starts a second in all data centres between two times.
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

// check returns an error that names every check that failed.
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
	require(r.jobRuns.twice == 0, "%d tasks of jobs ran twice", r.jobRuns.twice)
	require(r.runTwice == 0, "%d operations ran twice", r.runTwice)
	require(r.falseNotRun == 0, "%d operations ran although the caller was told that they did not", r.falseNotRun)
	require(r.tally.wrongAnswer == 0, "%d callers got the answer to another request", r.tally.wrongAnswer)
	require(r.startsOut() == 0, "%d tasks started in a data centre that was out", r.startsOut())
	if r.keyErr == nil {
		require(r.key.refused, "the withdrawn key is still accepted")
		require(!r.key.lastUse.After(r.key.force), "the withdrawn key was accepted %s after its withdrawal was in force", r.key.lastUse.Sub(r.key.force))
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
	row("run twice (must be 0)", r.runTwice)
	row("false \"not run\" (must be 0)", r.falseNotRun)
	row("answers of another request (must be 0)", r.tally.wrongAnswer)
	row("tasks accepted", len(r.submitted.accepted))
	row("tasks started", len(r.starts))
	row("jobs accepted, completed", fmt.Sprintf("%d, %d", len(r.jobs.accepted), r.jobs.completed))
	row("tasks of jobs done", len(r.jobRuns.done))
	row("tasks of jobs run twice (must be 0)", r.jobRuns.twice)
	started, slowest := r.urgentStarts()
	row("urgent tasks accepted, started", fmt.Sprintf("%d, %d", len(r.submitted.urgent), started))
	row("slowest urgent start", seconds(slowest))
	row("starts in "+r.zone.name+" while out (must be 0)", r.startsOut())
	row("task starts a second before, while out, after", fmt.Sprintf("%.0f, %.0f, %.0f",
		r.startRate(r.begin, r.zone.outAsked), r.startRate(r.zone.outAsked, r.zone.inAsked), r.startRate(r.zone.inAsked, r.end)))
	row("zone out in force after", seconds(r.zone.outForce.Sub(r.zone.outAsked)))
	row("zone in in force after", seconds(r.zone.inForce.Sub(r.zone.inAsked)))
	row("key withdrawal in force after", seconds(r.key.force.Sub(r.key.asked)))
	row("last use of the withdrawn key after", seconds(max(0, r.key.lastUse.Sub(r.key.asked))))
	r.writeShares(row)
	writeCounts(row, "refusals of requests", r.tally.refusals)
	writeCounts(row, "refusals of tasks", r.submitted.refused)
	writeCounts(row, "refusals of jobs", r.jobs.refused)
	_ = t.Flush()
}

// writeShares prints the part of all starts that each team reached.
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

// writeCounts prints the most frequent entries.
func writeCounts(row func(string, any), title string, counts map[string]int) {
	const most = 5
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for i, name := range names[:min(len(names), most)] {
		if i == 0 {
			row(title, "")
		}
		row("  "+name, counts[name])
	}
}

func (r *report) milliseconds(percentile float64) float64 {
	return float64(r.tally.latency.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
