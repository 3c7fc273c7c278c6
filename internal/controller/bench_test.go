package controller_test

import (
	"fmt"
	"testing"
	"unsafe"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// BenchmarkLookup is what every request does with the state.
func BenchmarkLookup(b *testing.B) {
	s := controller.State{}.WithQueue(&wire.Queue{
		Name: "redeem",
	})
	for b.Loop() {
		if _, ok := s.Queue("redeem"); !ok {
			b.Fatal("queue is not known")
		}
	}
	b.ReportMetric(float64(unsafe.Sizeof(s)), "state-bytes")
}

// BenchmarkApply is one accepted change of a state with the target's hosts.
func BenchmarkApply(b *testing.B) {
	s := controller.State{}
	for i := range 6600 {
		s = s.WithHost(&wire.Host{
			Name: fmt.Sprintf("h-%d", i),
		})
	}
	n := 0
	for b.Loop() {
		n++
		s, _ = controller.Apply(s, &wire.Command{
			OperationId: fmt.Sprint(n),
			Change: &wire.Command_DefineDataCentre{
				DefineDataCentre: &wire.DefineDataCentre{
					DataCentre: &wire.DataCentre{
						Name: fmt.Sprint(n),
					},
				},
			},
		})
	}
}

// BenchmarkFromSnapshot is what a restart costs after the snapshot is read: a
// state with the target's hosts and all remembered operations.
func BenchmarkFromSnapshot(b *testing.B) {
	s := controller.State{}
	for i := range 6600 {
		s = s.WithHost(&wire.Host{
			Name: fmt.Sprintf("h-%d", i),
		})
	}
	for i := range controller.OperationsKept {
		s = s.WithOperation(fmt.Sprint(i), &wire.Result{})
	}
	snap := s.Snapshot()
	for b.Loop() {
		controller.FromSnapshot(snap)
	}
}
