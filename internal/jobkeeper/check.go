package jobkeeper

import (
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
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

// maxTasksPerStep bounds the memory that one submitted step takes.
const maxTasksPerStep = 10_000

// CheckJob returns an error that tells why a submitted job is invalid, or nil.
// The text is sent to the submitter.
func CheckJob(j *jobwire.Job) error {
	if len(j.GetSteps()) == 0 {
		return errors.New("job: there are no steps")
	}
	for i, s := range j.GetSteps() {
		if s.GetTasks() <= 0 || s.GetTasks() > maxTasksPerStep {
			return errors.Errorf("job: step %d has %d tasks; there may be 1 to %d", i, s.GetTasks(), maxTasksPerStep)
		}
		perTask := s.GetEach()
		if perTask.GetMilliCores() < 0 || perTask.GetMemoryBytes() < 0 || perTask.GetAccelerators() < 0 {
			return errors.Errorf("job: step %d asks for less than nothing", i)
		}
		for _, dependency := range s.GetAfter() {
			if dependency < 0 || int(dependency) >= i {
				return errors.Errorf("job: step %d depends on step %d, which is not an earlier one", i, dependency)
			}
		}
	}
	if j.GetRepeatCount() < 0 || (j.GetRepeatCount() > 1 && j.GetIntervalNanos() <= 0) {
		return errors.New("job: the repetition has no interval")
	}
	return nil
}
