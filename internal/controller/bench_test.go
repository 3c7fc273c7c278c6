package controller_test

import (
	"fmt"
	"testing"
	"unsafe"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// BenchmarkLookup measures the lookup that every request does in the state.
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

// BenchmarkApply measures one accepted command on a state with 6,600 hosts, the
// target size of the fleet.
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

// BenchmarkFromSnapshot measures how long a restart takes to rebuild the state
// from a decoded snapshot with 6,600 hosts and OperationsKept operations.
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
