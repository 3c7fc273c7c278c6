package jobkeeper

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// Check returns an error that tells what is invalid in a configuration, or nil.
// The text is sent to the caller that sent the configuration.
func Check(c *jobwire.Configuration) error {
	pools := make(map[string]bool)
	for _, p := range c.GetPools() {
		if p.GetName() == "" || pools[p.GetName()] {
			return errors.Errorf("configuration: pool %q has no name or stands twice", p.GetName())
		}
		pools[p.GetName()] = true
	}
	if err := checkQueues(c.GetQueues(), pools); err != nil {
		return err
	}
	return checkAccounts(c.GetAccounts())
}

func checkQueues(queues []*jobwire.Queue, pools map[string]bool) error {
	type route struct{ host, prefix string }
	names, routes := make(map[string]bool), make(map[route]bool)
	for _, q := range queues {
		r := route{
			host:   q.GetHost(),
			prefix: q.GetPrefix(),
		}
		switch {
		case q.GetName() == "" || names[q.GetName()]:
			return errors.Errorf("configuration: queue %q has no name or stands twice", q.GetName())
		case !pools[q.GetPool()]:
			return errors.Errorf("configuration: queue %q names the unknown pool %q", q.GetName(), q.GetPool())
		case routes[r]:
			return errors.Errorf("configuration: queue %q has the host and prefix of another", q.GetName())
		case q.GetTimeoutNanos() <= 0:
			return errors.Errorf("configuration: queue %q has no timeout", q.GetName())
		case q.GetHost() == "" || q.GetPrefix() == "":
			return errors.Errorf("configuration: queue %q has no host or prefix", q.GetName())
		}
		names[q.GetName()], routes[r] = true, true
	}
	return nil
}

func checkAccounts(accounts []*jobwire.Account) error {
	owners := make(map[string]string)
	for _, a := range accounts {
		for _, key := range a.GetKeys() {
			if owner, ok := owners[key]; ok && owner != a.GetName() {
				return errors.Errorf("configuration: accounts %q and %q share a key", owner, a.GetName())
			}
			owners[key] = a.GetName()
		}
	}
	return nil
}

const (
	// maxTasksPerStep bounds the memory that one submitted step takes.
	maxTasksPerStep = 10_000
	// The sums over the tasks of a job are bounded so that those over the jobs of an account stay
	// within an int64: a billion cores, 4 PiB, a billion accelerators and 100 years.
	maxJobMilliCores   = 1000 << 30
	maxJobMemoryBytes  = 1 << 52
	maxJobAccelerators = 1 << 30
	maxJobRunTime      = 100 * 365 * 24 * time.Hour
)

// CheckJob returns an error that tells why a submitted job is invalid, or nil.
// The text is sent to the submitter.
func CheckJob(j *jobwire.Job) error {
	if len(j.GetSteps()) == 0 {
		return errors.New("job: there are no steps")
	}
	remaining := wire.Resources{
		MilliCores:   maxJobMilliCores,
		MemoryBytes:  maxJobMemoryBytes,
		Accelerators: maxJobAccelerators,
	}
	remainingRunTime := maxJobRunTime
	for i, s := range j.GetSteps() {
		if s.GetTasks() <= 0 || s.GetTasks() > maxTasksPerStep {
			return errors.Errorf("job: step %d has %d tasks; there may be 1 to %d", i, s.GetTasks(), maxTasksPerStep)
		}
		if err := checkRequest(i, s, &remaining); err != nil {
			return err
		}
		runTime := DeclaredRunTime(s)
		if runTime < 0 || runTime > remainingRunTime {
			return errors.Errorf("job: the run time of step %d is below zero, or that of all steps more than %v", i, maxJobRunTime)
		}
		remainingRunTime -= runTime
		for _, dependency := range s.GetAfter() {
			if dependency < 0 || int(dependency) >= i {
				return errors.Errorf("job: step %d depends on step %d, which is not an earlier one", i, dependency)
			}
		}
	}
	return checkRepetition(j)
}

// checkRequest checks what the tasks of step i ask for, and takes it off what remains for the
// steps of the job.
func checkRequest(i int, s *jobwire.Step, remaining *wire.Resources) error {
	perTask, tasks := s.GetEach(), int64(s.GetTasks())
	switch {
	case perTask.GetMilliCores() < 0 || perTask.GetMemoryBytes() < 0 || perTask.GetAccelerators() < 0:
		return errors.Errorf("job: step %d asks for less than nothing", i)
	case perTask.GetMilliCores() > remaining.GetMilliCores()/tasks,
		perTask.GetMemoryBytes() > remaining.GetMemoryBytes()/tasks,
		perTask.GetAccelerators() > remaining.GetAccelerators()/tasks:
		return errors.Errorf("job: with step %d the tasks ask for more than any fleet has", i)
	}
	remaining.MilliCores -= perTask.GetMilliCores() * tasks
	remaining.MemoryBytes -= perTask.GetMemoryBytes() * tasks
	remaining.Accelerators -= perTask.GetAccelerators() * tasks
	return nil
}

func checkRepetition(j *jobwire.Job) error {
	interval, start := j.GetIntervalNanos(), j.GetStartAtUnixNanos()
	later := int64(j.GetRepeatCount()) - 1
	switch {
	case later < -1 || later > 0 && interval <= 0:
		return errors.New("job: the repetition has no interval")
	case later >= 0 && (start < 0 || interval < 0):
		return errors.New("job: the start or the interval of the repetition is below zero")
	case later > 0 && later > (math.MaxInt64-start)/interval:
		return errors.New("job: the last start lies beyond all times")
	}
	return nil
}
