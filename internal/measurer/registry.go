package measurer

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

const (
	roleRegistry = "registry"

	// answerBytes is the size of each stored answer, that of a small response.
	answerBytes = 512
)

func registryProbes() []probe {
	return []probe{
		{
			role:  roleRegistry,
			name:  "entries with answers of 512 B",
			axis:  "entries",
			sizes: []int{1000, 10_000, 30_000, 60_000},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: keysPerEntryHost,
					bound:  maxMemoryMB,
				},
				{
					name:   "processor time of begin and finish, for each key",
					value:  1,
					unit:   duration,
					target: keysPerEntryHost,
				},
			},
			measure: measureRegistry,
		},
	}
}

// newTable returns a table that owns all slots and accepts Begin.
func newTable() *deduplicator.Table {
	self := deduplicator.Host{
		Name:        "entry-00",
		Incarnation: incarnation("entry-00"),
		DataCentre:  dataCentreName(0),
	}
	t := deduplicator.New(deduplicator.Options{
		Self: self,
	})
	view := deduplicator.NewSlotMap(1, []deduplicator.Host{
		self,
	})
	t.SetView(view, nil)
	for _, slot := range t.Pending() {
		t.Install(startTime, view.Epoch(), slot, deduplicator.Content{}, false)
		t.OpenSlot(view.Epoch(), slot)
	}
	return t
}

// storeKey begins and finishes one key.
func storeKey(t *deduplicator.Table, number int) error {
	key := fmt.Sprintf("%s/%036d", teamName(number%targetTeams), number)
	d := t.Begin(startTime, 1, deduplicator.Request{
		Key:         key,
		Fingerprint: fmt.Sprintf("%32d", number),
		Attempt:     incarnation(key),
	})
	if d.Outcome != deduplicator.Granted {
		return errors.Errorf("begin: outcome %d, %s", d.Outcome, d.Reason)
	}
	d.Entry.State = deduplicator.Finished
	d.Entry.Answer = make([]byte, answerBytes)
	_, reason := t.Finish(startTime, d.Entry)
	if reason != "" {
		return errors.Errorf("finish: %s", reason)
	}
	return nil
}

func measureRegistry(_ context.Context, n int) ([]float64, error) {
	var firstErr error
	fill := func(t *deduplicator.Table) {
		for i := range n {
			if err := storeKey(t, i); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	size := retainedBytes(func() *deduplicator.Table {
		t := newTable()
		fill(t)
		return t
	})
	total := cpuPerPreparedCall(newTable, fill)
	return []float64{size, total / float64(n)}, firstErr
}
