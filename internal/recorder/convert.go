package recorder

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

var statesFromWire = map[wire.EntryState]deduplicator.State{
	wire.EntryState_ENTRY_STATE_BEGUN:     deduplicator.Begun,
	wire.EntryState_ENTRY_STATE_FINISHED:  deduplicator.Finished,
	wire.EntryState_ENTRY_STATE_ABANDONED: deduplicator.Abandoned,
	wire.EntryState_ENTRY_STATE_FORGOTTEN: deduplicator.Forgotten,
	wire.EntryState_ENTRY_STATE_UNKNOWN:   deduplicator.Unknown,
}

var statesToWire = map[deduplicator.State]wire.EntryState{
	deduplicator.Begun:     wire.EntryState_ENTRY_STATE_BEGUN,
	deduplicator.Finished:  wire.EntryState_ENTRY_STATE_FINISHED,
	deduplicator.Abandoned: wire.EntryState_ENTRY_STATE_ABANDONED,
	deduplicator.Forgotten: wire.EntryState_ENTRY_STATE_FORGOTTEN,
	deduplicator.Unknown:   wire.EntryState_ENTRY_STATE_UNKNOWN,
}

var outcomesToWire = map[deduplicator.Outcome]wire.BeginOutcome{
	deduplicator.Granted:        wire.BeginOutcome_BEGIN_OUTCOME_GRANTED,
	deduplicator.InProgress:     wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS,
	deduplicator.Replay:         wire.BeginOutcome_BEGIN_OUTCOME_FINISHED,
	deduplicator.RanForgotten:   wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN,
	deduplicator.OutcomeUnknown: wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN,
	deduplicator.Mismatch:       wire.BeginOutcome_BEGIN_OUTCOME_MISMATCH,
	deduplicator.Refused:        wire.BeginOutcome_BEGIN_OUTCOME_REFUSED,
}

func hostOf(m *wire.Member) deduplicator.Host {
	return deduplicator.Host{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		DataCentre:  m.GetDataCentre(),
	}
}

func slotMapOf(v *wire.View) *deduplicator.SlotMap {
	hosts := make([]deduplicator.Host, 0, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		hosts = append(hosts, hostOf(m))
	}
	return deduplicator.NewSlotMap(v.GetEpoch(), hosts)
}

// entryFromWire converts an entry of a message received at now. A finished entry
// without an answer becomes forgotten, because the sender no longer has the
// answer.
func entryFromWire(now time.Time, in *wire.RegistryEntry) (deduplicator.Entry, error) {
	e := deduplicator.Entry{
		Key:         in.GetKey(),
		State:       statesFromWire[in.GetState()],
		Fingerprint: string(in.GetFingerprint()),
		Attempt:     in.GetAttempt(),
		Generation:  in.GetGeneration(),
		Changed:     now.Add(-time.Duration(in.GetAgeNanos())),
	}
	if e.State == 0 {
		return e, errors.Errorf("recorder: entry state %d is not known", in.GetState())
	}
	if e.State != deduplicator.Finished {
		return e, nil
	}
	if in.GetAnswer() == nil {
		e.State = deduplicator.Forgotten
		return e, nil
	}
	answer, err := proto.Marshal(in.GetAnswer())
	if err != nil {
		return e, errors.Wrap(err, "recorder: encode an answer")
	}
	e.Answer = answer
	return e, nil
}

func entryToWire(now time.Time, e deduplicator.Entry) (*wire.RegistryEntry, error) {
	out := &wire.RegistryEntry{
		Key:         e.Key,
		State:       statesToWire[e.State],
		Fingerprint: []byte(e.Fingerprint),
		Attempt:     e.Attempt,
		AgeNanos:    int64(now.Sub(e.Changed)),
		Generation:  e.Generation,
	}
	if e.State != deduplicator.Finished {
		return out, nil
	}
	answer, err := decodeAnswer(e.Answer)
	out.Answer = answer
	return out, err
}

func decodeAnswer(data []byte) (*wire.StoredAnswer, error) {
	answer := &wire.StoredAnswer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, errors.Wrap(err, "recorder: decode a stored answer")
	}
	return answer, nil
}

func entriesFromWire(now time.Time, in []*wire.RegistryEntry) ([]deduplicator.Entry, error) {
	entries := make([]deduplicator.Entry, 0, len(in))
	for _, w := range in {
		e, err := entryFromWire(now, w)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// entriesToWire converts the entries of a whole slot, newest first. Once their
// answers exceed maxTransferAnswerBytes, finished entries are sent as forgotten,
// so that the oldest answers are dropped first.
func entriesToWire(now time.Time, entries []deduplicator.Entry) ([]*wire.RegistryEntry, error) {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b deduplicator.Entry) int {
		return b.Changed.Compare(a.Changed)
	})
	out := make([]*wire.RegistryEntry, 0, len(entries))
	remainingBytes := maxTransferAnswerBytes
	for _, e := range entries {
		remainingBytes -= len(e.Answer)
		if remainingBytes < 0 && e.State == deduplicator.Finished {
			e.State = deduplicator.Forgotten
		}
		w, err := entryToWire(now, e)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}
