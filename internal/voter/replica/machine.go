package replica

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/recoverer"
	"github.com/heathermux/heathermux/pkg/replication"
)

// stateMachineTag is the first byte of StateMachine entries and of snapshots
// that include a StateMachine. No encoded protobuf message starts with 0,
// because there is no field number 0.
const stateMachineTag = 0

// StateMachine is a second state machine that shares the log with the control
// state. Its methods are called by one goroutine at a time.
type StateMachine interface {
	// Apply applies one entry and returns its result. It must be
	// deterministic: the result depends only on this and earlier entries.
	Apply(data []byte) any
	// Encode serializes the whole state.
	Encode() ([]byte, error)
	// Restore replaces the whole state; empty data means the initial state.
	Restore(data []byte) error
}

// addTag encodes data as a log entry of the StateMachine.
func addTag(data []byte) []byte { return append([]byte{stateMachineTag}, data...) }

// stripTag returns the data behind the tag, and false if there is no tag.
func stripTag(entry []byte) ([]byte, bool) {
	if len(entry) == 0 || entry[0] != stateMachineTag {
		return nil, false
	}
	return entry[1:], true
}

// encodeState returns the snapshot data of both state machines: the tag, the
// length of the control state, the control state and the StateMachine. Without
// a StateMachine it is the untagged control state.
func (r *Replica) encodeState() ([]byte, error) {
	control, err := r.state.Encode()
	if err != nil || r.opts.StateMachine == nil {
		return control, err
	}
	machineState, err := r.opts.StateMachine.Encode()
	if err != nil {
		return nil, err
	}
	data := binary.AppendUvarint([]byte{stateMachineTag}, uint64(len(control)))
	return append(append(data, control...), machineState...), nil
}

// decodeState decodes the control state from snapshot data and restores the
// StateMachine from the same data.
func (r *Replica) decodeState(data []byte) (controller.State, error) {
	control, machineState, err := splitState(data)
	if err != nil {
		return controller.State{}, err
	}
	if r.opts.StateMachine != nil {
		if err := r.opts.StateMachine.Restore(machineState); err != nil {
			return controller.State{}, err
		}
	}
	return controller.Decode(control)
}

func splitState(data []byte) (control, machineState []byte, err error) {
	body, ok := stripTag(data)
	if !ok {
		return data, nil, nil
	}
	n, size := binary.Uvarint(body)
	if size <= 0 || n > uint64(len(body)-size) {
		return nil, nil, errors.New("replica: snapshot truncated: the control state or its length prefix is incomplete")
	}
	return body[size : size+int(n)], body[size+int(n):], nil
}

// Submit appends an entry for the StateMachine and calls done exactly once with
// its result. It reports whether the entry was appended; if so, its outcome is
// undetermined until done is called.
func (r *Replica) Submit(now time.Time, data []byte, done func(any, error)) bool {
	name, self := r.Leader()
	if !self {
		done(nil, NotLeaderError{
			Leader: name,
		})
		return false
	}
	position, err := r.core.Propose(now, addTag(data))
	if err != nil {
		done(nil, err)
		return false
	}
	r.pendingSubmissions[position.Index] = &submission{
		term: position.Term,
		done: done,
	}
	return true
}

// submission is a StateMachine entry that was appended and not yet applied.
type submission struct {
	term uint64
	done func(any, error)
}

// applyStateMachineEntry applies a committed entry to the StateMachine and
// returns the result to the caller of Submit. If another term's entry was
// committed at the same index, the caller gets ErrOutcomeUnknown.
func (r *Replica) applyStateMachineEntry(e *replication.Entry, data []byte) {
	var result any
	if r.opts.StateMachine != nil {
		// Each replica applies the entry, so a panic would end one after the other.
		err := recoverer.Run(r.opts.Logger, "voter: applying a log entry panicked; entry skipped", func() {
			result = r.opts.StateMachine.Apply(data)
		})
		if err != nil {
			result = err
		}
	}
	s, ok := r.pendingSubmissions[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.pendingSubmissions, e.GetIndex())
	if s.term != e.GetTerm() {
		s.done(nil, ErrOutcomeUnknown)
		return
	}
	s.done(result, nil)
}

// failSubmissions ends all pending submissions with ErrOutcomeUnknown when this
// replica stops leading.
func (r *Replica) failSubmissions() {
	for index, s := range r.pendingSubmissions {
		delete(r.pendingSubmissions, index)
		s.done(nil, ErrOutcomeUnknown)
	}
}

// Authority returns the term that this replica leads and the latest time for
// which a majority confirmed its leadership. No replica was elected leader of a
// later term before that time. ok is false while it may not act as the leader.
func (r *Replica) Authority(now time.Time) (term uint64, contact time.Time, ok bool) {
	if _, self := r.Leader(); !self {
		return 0, time.Time{}, false
	}
	contact, ok = r.core.QuorumContact(now)
	return r.core.Status().Term, contact, ok
}
