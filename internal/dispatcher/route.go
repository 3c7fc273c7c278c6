package dispatcher

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

var errNoScheduler = unsentError{
	error: errors.New("dispatcher: no entry host schedules the data centre"),
}

// unsentError is an error after which the request certainly did not leave this
// host, so that it is safe to try elsewhere.
type unsentError struct{ error }

// NotSent reports that the request did not leave this host.
func (unsentError) NotSent() bool { return true }

func notSent(err error) bool {
	var unsent interface{ NotSent() bool }
	return errors.As(err, &unsent) && unsent.NotSent()
}

// schedulerOf returns the entry host that schedules the data centre.
func schedulerOf(s controller.State, dataCentre string) (*wire.Member, bool) {
	d, ok := s.DataCentre(dataCentre)
	if !ok || d.GetScheduler() == "" {
		return nil, false
	}
	return memberNamed(s, d.GetScheduler())
}

func memberNamed(s controller.State, name string) (*wire.Member, bool) {
	for _, m := range s.View().GetMembers() {
		if m.GetName() == name {
			return m, true
		}
	}
	return nil, false
}

// idPrefix returns the prefix of the IDs of all tasks submitted to the data centre.
// It lets any entry host find the scheduler of a task from the ID alone.
func idPrefix(dataCentre string) string { return dataCentre + "." }

// dataCentreOf returns the data centre to which the task was submitted.
func dataCentreOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return ""
}

// idSuffix returns the part of a task ID after the data centre. If the task has an
// idempotency key, the suffix is derived from the team and the key, so that a
// resubmission finds the first task.
func (d *Dispatcher) idSuffix(task *wire.Task) string {
	if task.GetIdempotencyKey() == "" {
		return d.opts.NewID()
	}
	sum := sha256.Sum256([]byte(task.GetTeam() + "\x00" + task.GetIdempotencyKey()))
	return hex.EncodeToString(sum[:16])
}

func randomID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // Read of crypto/rand never fails.
	return hex.EncodeToString(id[:])
}
