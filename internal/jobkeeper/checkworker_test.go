package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A worker whose id can't stand in the header of an order was taken, and polled in vain until it
// lapsed; other odd texts would spoil log lines.
func TestControlCharactersNameNoWorker(t *testing.T) {
	now := time.Unix(10, 0)
	cases := map[string]struct {
		change func(w *jobwire.Worker)
		sound  bool
	}{
		"sound": {
			change: func(*jobwire.Worker) {},
			sound:  true,
		},
		"letters beyond ASCII": {
			change: func(w *jobwire.Worker) { w.Rack, w.Labels = "räck", []string{"größe 2"} },
			sound:  true,
		},
		"NUL in the id": {
			change: func(w *jobwire.Worker) { w.Id = "w\x00" },
		},
		"end of line in the id": {
			change: func(w *jobwire.Worker) { w.Id = "w\r\nX: 1" },
		},
		"space around the id": {
			change: func(w *jobwire.Worker) { w.Id = " w" },
		},
		"NUL in the pool": {
			change: func(w *jobwire.Worker) { w.Pool = "p\x00" },
		},
		"escape in the data centre": {
			change: func(w *jobwire.Worker) { w.DataCentre = "dc\x1b[2J" },
		},
		"C1 control in the rack": {
			change: func(w *jobwire.Worker) { w.Rack = "r\u0085" },
		},
		"DEL in a label": {
			change: func(w *jobwire.Worker) { w.Labels = []string{"sound", "l\x7f"} },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &jobwire.Worker{
				Id:         "w",
				Born:       1000,
				Pool:       "p",
				Address:    "10.0.0.1:1",
				DataCentre: "dc",
			}
			c.change(w)
			err := jobkeeper.CheckReport(&jobwire.WorkerReport{
				Worker: w,
			}, now)
			is.Equal(err == nil, c.sound)
		})
	}
}
