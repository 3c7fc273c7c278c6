package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
)

// taskFields holds how each field of a submitted task is read.
var taskFields = map[string]func(t *wire.Task, value json.RawMessage) error{
	"queue":        func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Queue, `a string`) },
	"processors":   func(t *wire.Task, v json.RawMessage) error { return readProcessors(v, t.Size) },
	"memory":       func(t *wire.Task, v json.RawMessage) error { return readMemory(v, t.Size) },
	"accelerators": func(t *wire.Task, v json.RawMessage) error { return readAccelerators(v, t.Size) },
	"deadline":     func(t *wire.Task, v json.RawMessage) error { return readTime(v, &t.DeadlineNanos) },
	"run-time":     func(t *wire.Task, v json.RawMessage) error { return readTime(v, &t.RunTimeNanos) },
	"idempotent":   func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Idempotent, `true or false`) },
	"urgent":       func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Urgent, `true or false`) },
	"payload": func(t *wire.Task, v json.RawMessage) error {
		t.Payload = v
		return nil
	},
}

// parseTask reads a task; the error names the first field that is wrong and
// what is allowed. The payload is kept as JSON.
func parseTask(body []byte) (*wire.Task, error) {
	t := &wire.Task{
		Size: &wire.Resources{},
	}
	if err := readFields(body, taskFields, t); err != nil {
		return nil, err
	}
	switch {
	case t.GetQueue() == "":
		return nil, errors.New(`field "queue" is missing`)
	case t.GetDeadlineNanos() == 0:
		return nil, errors.New(`field "deadline" is missing; a duration with a unit, such as "90s"`)
	}
	return t, nil
}

// readFields reads a JSON object with the given fields only.
func readFields[T any](body []byte, known map[string]func(t T, value json.RawMessage) error, into T) error {
	var fields map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return errors.New("the body must be one JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("the body must hold nothing after the JSON object")
	}
	for _, name := range sortedNames(fields) {
		read, ok := known[name]
		if !ok {
			return errors.Errorf("field %q is not known; allowed are %s", name, strings.Join(sortedNames(known), ", "))
		}
		if err := read(into, fields[name]); err != nil {
			return errors.WithMessagef(err, "field %q", name)
		}
	}
	return nil
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func readJSON[V any](value json.RawMessage, to *V, allowed string) error {
	if string(value) == "null" || json.Unmarshal(value, to) != nil {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}

func readTime(value json.RawMessage, to *int64) error {
	const allowed = `a positive duration with a unit, such as "90s"`
	var text string
	if err := readJSON(value, &text, allowed); err != nil {
		return err
	}
	d, ok := parseDuration(text)
	if !ok {
		return errors.Errorf("must be %s", allowed)
	}
	*to = int64(d)
	return nil
}

// maxCores bounds processors, so that their thousandths fit.
const maxCores = 1 << 20

// readProcessors reads a number of cores, or the form that settings use.
func readProcessors(value json.RawMessage, to *wire.Resources) error {
	const allowed = `a number of cores such as 2 or 0.5, or "16 cores" or "500 millicores"`
	var text string
	if json.Unmarshal(value, &text) == nil && text != "" {
		n, err := loader.ParseMilliCores(text)
		if err != nil {
			return errors.Errorf("must be %s", allowed)
		}
		to.MilliCores = int64(n)
		return nil
	}
	var cores float64
	if err := readJSON(value, &cores, allowed); err != nil {
		return err
	}
	if cores < 0 || cores > maxCores {
		return errors.Errorf("must be %s", allowed)
	}
	to.MilliCores = int64(math.Ceil(cores * 1000))
	return nil
}

func readAccelerators(value json.RawMessage, to *wire.Resources) error {
	const allowed = `a whole number that is not negative`
	if err := readJSON(value, &to.Accelerators, allowed); err != nil {
		return err
	}
	if to.Accelerators < 0 {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}

func readMemory(value json.RawMessage, to *wire.Resources) error {
	const allowed = `a whole number with the unit B, KiB, MiB, GiB or TiB, such as "64GiB"`
	var text string
	if err := readJSON(value, &text, allowed); err != nil {
		return err
	}
	n, err := loader.ParseBytes(text)
	if err != nil {
		return errors.Errorf("must be %s", allowed)
	}
	to.MemoryBytes = int64(n)
	return nil
}
