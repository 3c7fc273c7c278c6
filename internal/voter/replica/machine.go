package replica

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/pkg/replication"
)

// machineMark begins the entries and snapshots of a Machine. No encoded
// protobuf message begins with it, since no field has the number 0.
const machineMark = 0

// Machine is a second state machine that shares the log with the control
// state. Its methods are called by one goroutine at a time.
type Machine interface {
	// Apply runs one entry and returns its result. It depends on nothing but
	// the entries before.
	Apply(data []byte) any
	// Encode returns the whole state.
	Encode() ([]byte, error)
	// Restore replaces the whole state; empty data is the initial state.
	Restore(data []byte) error
}

// mark returns data as an entry of the machine.
func mark(data []byte) []byte { return append([]byte{machineMark}, data...) }

// marked returns the data of an entry of the machine.
func marked(entry []byte) ([]byte, bool) {
	if len(entry) == 0 || entry[0] != machineMark {
		return nil, false
	}
	return entry[1:], true
}

// encodeState returns the data of a snapshot of both state machines.
func (r *Replica) encodeState() ([]byte, error) {
	control, err := r.state.Encode()
	if err != nil || r.opts.Machine == nil {
		return control, err
	}
	rest, err := r.opts.Machine.Encode()
	if err != nil {
		return nil, err
	}
	data := binary.AppendUvarint([]byte{machineMark}, uint64(len(control)))
	return append(append(data, control...), rest...), nil
}

// decodeState takes the data of a snapshot and restores the machine from it.
func (r *Replica) decodeState(data []byte) (controller.State, error) {
	control, rest, err := splitState(data)
	if err != nil {
		return controller.State{}, err
	}
	if r.opts.Machine != nil {
		if err := r.opts.Machine.Restore(rest); err != nil {
			return controller.State{}, err
		}
	}
	return controller.Decode(control)
}

func splitState(data []byte) (control, rest []byte, err error) {
	both, ok := marked(data)
	if !ok {
		return data, nil, nil
	}
	n, size := binary.Uvarint(both)
	if size <= 0 || n > uint64(len(both)-size) {
		return nil, nil, errors.New("replica: the snapshot is cut short")
	}
	return both[size : size+int(n)], both[size+int(n):], nil
}

// Submit appends an entry of the machine and calls done once with its result.
// It reports whether the entry was appended, so that its outcome is open until
// done is called.
func (r *Replica) Submit(now time.Time, data []byte, done func(any, error)) bool {
	name, self := r.Leader()
	if !self {
		done(nil, NotLeaderError{
			Leader: name,
		})
		return false
	}
	position, err := r.core.Propose(now, mark(data))
	if err != nil {
		done(nil, err)
		return false
	}
	r.submitted[position.Index] = &submission{
		term: position.Term,
		done: done,
	}
	return true
}

// submission is an entry of the machine whose result is open.
type submission struct {
	term uint64
	done func(any, error)
}

// applyMachine runs an entry of the machine and answers its caller.
func (r *Replica) applyMachine(e *replication.Entry, data []byte) {
	var result any
	if r.opts.Machine != nil {
		result = r.opts.Machine.Apply(data)
	}
	s, ok := r.submitted[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.submitted, e.GetIndex())
	if s.term != e.GetTerm() {
		s.done(nil, ErrOutcomeUnknown)
		return
	}
	s.done(result, nil)
}

// abandonSubmissions answers all open submissions when the lead ends.
func (r *Replica) abandonSubmissions() {
	for index, s := range r.submitted {
		delete(r.submitted, index)
		s.done(nil, ErrOutcomeUnknown)
	}
}

// Authority returns the term that this replica leads and the newest time at
// which a majority confirmed it; false while it may not act as the leader. No
// other replica leads a later term before that time.
func (r *Replica) Authority(now time.Time) (term uint64, contact time.Time, ok bool) {
	if _, self := r.Leader(); !self {
		return 0, time.Time{}, false
	}
	contact, ok = r.core.QuorumContact(now)
	return r.core.Status().Term, contact, ok
}
