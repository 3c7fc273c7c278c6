package ingress

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// jobSubmission is a submitted job with the queue it is meant for.
type jobSubmission struct {
	queue string
	job   *jobwire.Job
}

// jobFields holds the parser of each JSON field of a submitted job.
var jobFields = map[string]func(s *jobSubmission, value json.RawMessage) error{
	"queue": func(s *jobSubmission, v json.RawMessage) error { return readJSON(v, &s.queue, `a string`) },
	"payload": func(s *jobSubmission, v json.RawMessage) error {
		s.job.Payload = string(v)
		return nil
	},
	"steps":  readSteps,
	"repeat": readRepeat,
}

// stepFields holds the parser of each JSON field of a step.
var stepFields = map[string]func(s *jobwire.Step, value json.RawMessage) error{
	"tasks":        func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.Tasks) },
	"processors":   func(s *jobwire.Step, v json.RawMessage) error { return readProcessors(v, s.Each) },
	"memory":       func(s *jobwire.Step, v json.RawMessage) error { return readMemory(v, s.Each) },
	"accelerators": func(s *jobwire.Step, v json.RawMessage) error { return readAccelerators(v, s.Each) },
	"run-time":     func(s *jobwire.Step, v json.RawMessage) error { return readDuration(v, &s.EstimateNanos) },
	"after": func(s *jobwire.Step, v json.RawMessage) error {
		return readJSON(v, &s.After, `numbers of earlier steps`)
	},
	"checkpoints":     func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Checkpoints, `true or false`) },
	"gang":            func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Gang, `true or false`) },
	"same-rack":       func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.SameRack, `true or false`) },
	"label":           func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Label, `a string`) },
	"data-rack":       func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.DataRack, `a string`) },
	"most-per-worker": func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.MostPerWorker) },
	"speculative":     func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Speculative, `true or false`) },
	"lasting":         func(s *jobwire.Step, v json.RawMessage) error { return readJSON(v, &s.Lasting, `true or false`) },
	"may-miss":        func(s *jobwire.Step, v json.RawMessage) error { return readCount(v, &s.MayMiss) },
}

// repeatFields holds the parser of each JSON field of "repeat".
var repeatFields = map[string]func(j *jobwire.Job, value json.RawMessage) error{
	"count":    func(j *jobwire.Job, v json.RawMessage) error { return readCount(v, &j.RepeatCount) },
	"interval": func(j *jobwire.Job, v json.RawMessage) error { return readDuration(v, &j.IntervalNanos) },
	"start":    readStart,
}

// parseJob parses a submitted job. The error names the first invalid field and
// what is allowed there. The payload is kept as JSON.
func parseJob(body []byte) (*jobSubmission, error) {
	s := &jobSubmission{
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

func readSteps(s *jobSubmission, value json.RawMessage) error {
	var rawSteps []json.RawMessage
	if err := readJSON(value, &rawSteps, `a list of steps`); err != nil {
		return err
	}
	for i, raw := range rawSteps {
		step := &jobwire.Step{
			Tasks: 1,
			Each:  &wire.Resources{},
		}
		if err := readFields(raw, stepFields, step); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
		if step.GetEstimateNanos() == 0 && !step.GetLasting() {
			return errors.Errorf(`step %d: field "run-time" is missing; a duration with a unit, such as "90s"`, i)
		}
		if step.GetSpeculative() && (step.GetLasting() || step.GetGang()) {
			return errors.Errorf(`step %d: "speculative" can't be with "lasting" or "gang"; their tasks have no copies`, i)
		}
		s.job.Steps = append(s.job.Steps, step)
	}
	return nil
}

func readRepeat(s *jobSubmission, value json.RawMessage) error {
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

// readCount parses a whole number above 0.
func readCount(value json.RawMessage, dst *int32) error {
	const allowed = `a whole number above 0`
	if err := readJSON(value, dst, allowed); err != nil {
		return err
	}
	if *dst <= 0 {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}
