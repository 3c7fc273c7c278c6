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

// taskFields holds the parser of each JSON field of a submitted task.
var taskFields = map[string]func(t *wire.Task, value json.RawMessage) error{
	"queue":        func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Queue, `a string`) },
	"processors":   func(t *wire.Task, v json.RawMessage) error { return readProcessors(v, t.Size) },
	"memory":       func(t *wire.Task, v json.RawMessage) error { return readMemory(v, t.Size) },
	"accelerators": func(t *wire.Task, v json.RawMessage) error { return readAccelerators(v, t.Size) },
	"deadline":     func(t *wire.Task, v json.RawMessage) error { return readDuration(v, &t.DeadlineNanos) },
	"run-time":     func(t *wire.Task, v json.RawMessage) error { return readDuration(v, &t.RunTimeNanos) },
	"idempotent":   func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Idempotent, `true or false`) },
	"urgent":       func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Urgent, `true or false`) },
	"payload": func(t *wire.Task, v json.RawMessage) error {
		t.Payload = v
		return nil
	},
}

// parseTask parses a submitted task. The error names the first invalid field and
// what is allowed there. The payload is kept as JSON.
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

// readFields parses a JSON object into dst with the reader of each field. A field
// without a reader is an error. Fields are read in alphabetical order, so that the
// error for a given body is always the same.
func readFields[T any](body []byte, readers map[string]func(t T, value json.RawMessage) error, dst T) error {
	var fields map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return errors.New("the body must be one JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("the body must hold nothing after the JSON object")
	}
	for _, name := range sortedKeys(fields) {
		read, ok := readers[name]
		if !ok {
			return errors.Errorf("field %q is not known; allowed are %s", name, strings.Join(sortedKeys(readers), ", "))
		}
		if err := read(dst, fields[name]); err != nil {
			return errors.WithMessagef(err, "field %q", name)
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// readJSON parses a JSON value other than null; allowed describes the valid values
// in the error.
func readJSON[V any](value json.RawMessage, dst *V, allowed string) error {
	if string(value) == "null" || json.Unmarshal(value, dst) != nil {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}

// readDuration parses a duration such as "90s" into nanoseconds.
func readDuration(value json.RawMessage, dst *int64) error {
	const allowed = `a positive duration with a unit, such as "90s"`
	var text string
	if err := readJSON(value, &text, allowed); err != nil {
		return err
	}
	d, ok := parseDuration(text)
	if !ok {
		return errors.Errorf("must be %s", allowed)
	}
	*dst = int64(d)
	return nil
}

// maxCores limits the number of cores, so that it fits into an int64 of
// millicores.
const maxCores = 1 << 20

// readProcessors parses a number of cores, or a text with a unit as in the
// settings. Fractions of a millicore are rounded up.
func readProcessors(value json.RawMessage, dst *wire.Resources) error {
	const allowed = `a number of cores such as 2 or 0.5, or "16 cores" or "500 millicores"`
	var text string
	if json.Unmarshal(value, &text) == nil && text != "" {
		n, err := loader.ParseMilliCores(text)
		if err != nil {
			return errors.Errorf("must be %s", allowed)
		}
		dst.MilliCores = int64(n)
		return nil
	}
	var cores float64
	if err := readJSON(value, &cores, allowed); err != nil {
		return err
	}
	if cores < 0 || cores > maxCores {
		return errors.Errorf("must be %s", allowed)
	}
	dst.MilliCores = int64(math.Ceil(cores * 1000))
	return nil
}

func readAccelerators(value json.RawMessage, dst *wire.Resources) error {
	const allowed = `a whole number that is not negative`
	if err := readJSON(value, &dst.Accelerators, allowed); err != nil {
		return err
	}
	if dst.Accelerators < 0 {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}

func readMemory(value json.RawMessage, dst *wire.Resources) error {
	const allowed = `a whole number with the unit B, KiB, MiB, GiB or TiB, such as "64GiB"`
	var text string
	if err := readJSON(value, &text, allowed); err != nil {
		return err
	}
	n, err := loader.ParseBytes(text)
	if err != nil {
		return errors.Errorf("must be %s", allowed)
	}
	dst.MemoryBytes = int64(n)
	return nil
}
