package jobkeeper

import (
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Bounds of what a worker may report. They are far beyond any machine; sums over a whole fleet
// of such workers stay within an int64.
const (
	maxWorkerMilliCores   = 1000 << 20
	maxWorkerMemoryBytes  = 1 << 50
	maxWorkerAccelerators = 1 << 20
	maxWorkerLabels       = 64
	maxWorkerTextBytes    = 256
)

const (
	// maxBornAhead is how far ahead of the time of day here the start of a worker may lie. Its
	// clock may be off, but a start in the far future would make all its later incarnations
	// look like earlier ones.
	maxBornAhead = time.Hour
	// maxReportsPerSecond bounds how fast the sequence numbers of a worker rise. A number far
	// beyond would make its own later reports look like delayed ones.
	maxReportsPerSecond = 1000
	// maxWorkerClockMillis bounds the clock of a worker, from which the ends of its leases are
	// worked out: about 285,000 years.
	maxWorkerClockMillis = 1 << 53
)

// CheckReport returns an error that tells why a report can't describe a worker, or nil. Another
// writer may leave such a report among those of the workers.
func CheckReport(r *jobwire.WorkerReport, now time.Time) error {
	w := r.GetWorker()
	if err := checkTexts(w); err != nil {
		return err
	}
	if err := checkAddress(w.GetAddress()); err != nil {
		return err
	}
	c := w.GetCapacity()
	switch {
	case c.GetMilliCores() < 0 || c.GetMilliCores() > maxWorkerMilliCores,
		c.GetMemoryBytes() < 0 || c.GetMemoryBytes() > maxWorkerMemoryBytes,
		c.GetAccelerators() < 0 || c.GetAccelerators() > maxWorkerAccelerators:
		return errors.Errorf("worker: the capacity of %d thousandths of a core, %d bytes and %d accelerators is not that of a machine",
			c.GetMilliCores(), c.GetMemoryBytes(), c.GetAccelerators())
	case w.GetBorn() < 0:
		return errors.Errorf("worker: the start time %d ms is negative", w.GetBorn())
	case w.GetBorn() > now.Add(maxBornAhead).UnixMilli():
		return errors.Errorf("worker: the start time %d ms lies in the future", w.GetBorn())
	case r.GetClockMillis() < 0 || r.GetClockMillis() > maxWorkerClockMillis:
		return errors.Errorf("worker: its clock can't show %d ms", r.GetClockMillis())
	case r.GetSequence() > maxSequence(w, now):
		return errors.Errorf("worker: the sequence number %d is too high for a process started at %d ms", r.GetSequence(), w.GetBorn())
	}
	return nil
}

// maxSequence returns the highest sequence number that a worker can have reached.
func maxSequence(w *jobwire.Worker, now time.Time) uint64 {
	age := now.Add(maxBornAhead).Sub(time.UnixMilli(w.GetBorn()))
	return uint64(max(0, age.Seconds())+1) * maxReportsPerSecond
}

func checkTexts(w *jobwire.Worker) error {
	if len(w.GetLabels()) > maxWorkerLabels {
		return errors.Errorf("worker: there are %d labels; there may be %d", len(w.GetLabels()), maxWorkerLabels)
	}
	texts := append([]string{w.GetId(), w.GetPool(), w.GetAddress(), w.GetDataCentre(), w.GetRack()}, w.GetLabels()...)
	for _, text := range texts {
		if len(text) > maxWorkerTextBytes || !utf8.ValidString(text) {
			return errors.Errorf("worker: a text is longer than %d bytes or not UTF-8", maxWorkerTextBytes)
		}
	}
	for _, text := range texts {
		// An order names its worker in a header, which can't hold such characters.
		if strings.ContainsFunc(text, unicode.IsControl) {
			return errors.Errorf("worker: the text %q has a control character", text)
		}
	}
	if w.GetId() == "" || strings.TrimSpace(w.GetId()) != w.GetId() {
		return errors.Errorf("worker: the id %q is missing or has space around it", w.GetId())
	}
	return nil
}

// checkAddress returns an error unless the address is a host and a port number.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return errors.Errorf("worker: the address %q is not a host and a port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("worker: the port of the address %q is not between 1 and 65535", address)
	}
	return nil
}
