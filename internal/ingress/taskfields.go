package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

// taskFields holds how each field of a submitted task is read.
var taskFields = map[string]func(t *wire.Task, value json.RawMessage) error{
	"queue":        func(t *wire.Task, v json.RawMessage) error { return readJSON(v, &t.Queue, `a string`) },
	"processors":   readProcessors,
	"memory":       readMemory,
	"accelerators": readAccelerators,
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
	var fields map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return nil, errors.New("the body must be one JSON object")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("the body must hold nothing after the JSON object")
	}
	t := &wire.Task{
		Size: &wire.Resources{},
	}
	for _, name := range sortedNames(fields) {
		read, ok := taskFields[name]
		if !ok {
			return nil, errors.Errorf("field %q is not known; allowed are %s", name, strings.Join(sortedNames(taskFields), ", "))
		}
		if err := read(t, fields[name]); err != nil {
			return nil, errors.WithMessagef(err, "field %q", name)
		}
	}
	switch {
	case t.GetQueue() == "":
		return nil, errors.New(`field "queue" is missing`)
	case t.GetDeadlineNanos() == 0:
		return nil, errors.New(`field "deadline" is missing; a duration with a unit, such as "90s"`)
	}
	return t, nil
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

func readProcessors(t *wire.Task, value json.RawMessage) error {
	const allowed = `a number of cores, such as 2 or 0.5`
	var cores float64
	if err := readJSON(value, &cores, allowed); err != nil {
		return err
	}
	if cores < 0 || cores > maxCores {
		return errors.Errorf("must be %s", allowed)
	}
	t.Size.MilliCores = int64(math.Ceil(cores * 1000))
	return nil
}

func readAccelerators(t *wire.Task, value json.RawMessage) error {
	const allowed = `a whole number that is not negative`
	if err := readJSON(value, &t.Size.Accelerators, allowed); err != nil {
		return err
	}
	if t.Size.Accelerators < 0 {
		return errors.Errorf("must be %s", allowed)
	}
	return nil
}

// memoryUnits holds the bytes of each unit.
var memoryUnits = map[string]int64{
	"B":   1,
	"KiB": 1 << 10,
	"MiB": 1 << 20,
	"GiB": 1 << 30,
	"TiB": 1 << 40,
}

func readMemory(t *wire.Task, value json.RawMessage) error {
	const allowed = `a whole number with the unit B, KiB, MiB, GiB or TiB, such as "64GiB"`
	var text string
	if err := readJSON(value, &text, allowed); err != nil {
		return err
	}
	n, ok := parseMemory(text)
	if !ok {
		return errors.Errorf("must be %s", allowed)
	}
	t.Size.MemoryBytes = n
	return nil
}

func parseMemory(text string) (int64, bool) {
	unit := strings.TrimLeft(text, "0123456789")
	n, err := strconv.ParseInt(strings.TrimSuffix(text, unit), 10, 64)
	size, ok := memoryUnits[unit]
	if !ok || err != nil || n > math.MaxInt64/size {
		return 0, false
	}
	return n * size, true
}
