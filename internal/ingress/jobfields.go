package ingress

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// submission is a job as its caller sends it.
type submission struct {
	queue string
	job   *jobwire.Job
}

// jobFields holds how each field of a submitted job is read.
var jobFields = map[string]func(s *submission, value json.RawMessage) error{
	"queue": func(s *submission, v json.RawMessage) error { return readJSON(v, &s.queue, `a string`) },
	"payload": func(s *submission, v json.RawMessage) error {
		s.job.Payload = string(v)
		return nil
	},
	"steps":  readSteps,
	"repeat": readRepeat,
}

// stepFields holds how each field of a step is read.
var stepFields = map[string]func(s *jobwire.Step, value json.RawMessage) error{
	"tasks":        func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.Tasks) },
	"processors":   func(s *jobwire.Step, v json.RawMessage) error { return readProcessors(v, s.Each) },
	"memory":       func(s *jobwire.Step, v json.RawMessage) error { return readMemory(v, s.Each) },
	"accelerators": func(s *jobwire.Step, v json.RawMessage) error { return readAccelerators(v, s.Each) },
	"run-time":     func(s *jobwire.Step, v json.RawMessage) error { return readTime(v, &s.EstimateNanos) },
	"after": func(s *jobwire.Step, v json.RawMessage) error {
		return readJSON(v, &s.After, `numbers of earlier steps`)
	},
	"checkpoints":     func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Checkpoints, `true or false`) },
	"gang":            func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Gang, `true or false`) },
	"same-rack":       func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.SameRack, `true or false`) },
	"label":           func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Label, `a string`) },
	"data-rack":       func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.DataRack, `a string`) },
	"most-per-worker": func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.MostPerWorker) },
	"lasting":         func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Lasting, `true or false`) },
	"may-miss":        func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.MayMiss) },
}

// repeatFields holds how each field of a repetition is read.
var repeatFields = map[string]func(j *jobwire.Job, value json.RawMessage) error{
	"count":    func(j *jobwire.Job, v json.RawMessage) error { return readCount(v, &j.RepeatCount) },
	"interval": func(j *jobwire.Job, v json.RawMessage) error { return readTime(v, &j.IntervalNanos) },
	"start":    readStart,
}

// parseJob reads a job; the error names the first field that is wrong and what
// is allowed. The payload is kept as JSON.
func parseJob(body []byte) (*submission, error) {
	s := &submission{
		job: &jobwire.Job{},
	}
	if err := readFields(body, jobFields, s); err != nil {
		return nil, err
	}
	switch {
	case s.queue == "":
		return nil, errors.New(`field "queue" is missing`)
	case len(s.job.GetSteps()) == 0:
		return nil, errors.New(`field "steps" is missing; a list of at least one step`)
	}
	return s, nil
}

func readSteps(s *submission, value json.RawMessage) error {
	var list []json.RawMessage
	if err := readJSON(value, &list, `a list of steps`); err != nil {
		return err
	}
	for i, text := range list {
		step := &jobwire.Step{
			Tasks: 1,
			Each:  &wire.Resources{},
		}
		if err := readFields(text, stepFields, step); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
		if step.GetEstimateNanos() == 0 && !step.GetLasting() {
			return errors.Errorf(`step %d: field "run-time" is missing; a duration with a unit, such as "90s"`, i)
		}
		s.job.Steps = append(s.job.Steps, step)
	}
	return nil
}

func readRepeat(s *submission, value json.RawMessage) error {
	if err := readFields(value, repeatFields, s.job); err != nil {
		return err
	}
	if s.job.GetRepeatCount() == 0 {
		return errors.New(`field "count" is missing`)
	}
	return nil
}

func readStart(j *jobwire.Job, value json.RawMessage) error {
	var t time.Time
	if err := readJSON(value, &t, `a time such as "2026-12-04T06:00:00Z"`); err != nil {
		return err
	}
	j.StartAtUnixNanos = t.UnixNano()
	return nil
}

// readCount reads a whole number above 0.
func readCount(value json.RawMessage, to *int32) error {
	const allowed = `a whole number above 0`
	if err := readJSON(value, to, allowed); err != nil {
		return err
	}
	if *to <= 0 {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}
