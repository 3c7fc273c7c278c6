package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// waveHosts are the hosts that the provider lists at a time of the test below.
func waveHosts(present bool) []jobscheduler.Host {
	hosts := []jobscheduler.Host{
		{
			Name:  "host-b",
			Pool:  "p",
			State: jobscheduler.HostUp,
		},
	}
	if present {
		hosts = append(hosts, jobscheduler.Host{
			Name:  "host-a",
			Pool:  "p",
			State: jobscheduler.HostUp,
		})
	}
	return hosts
}

// A host of a wave that the listings lack for some seconds, while the leader changes,
// comes back and has to be maintained. If a leader counted it after its own first
// listing, or with the time of its predecessor, the wave would be shown as completed
// although the host has not been maintained.
func TestNewLeaderAwaitsMissingHostOfWave(t *testing.T) {
	// The times that the host is missing before and after each change of leader: in
	// all longer than a host may be missing, under one leader never.
	cases := map[string][]time.Duration{
		"before and after the change": {6 * time.Second, 7 * time.Second},
		"from the change on":          {0, 7 * time.Second},
		"over two changes":            {4 * time.Second, 4 * time.Second, 4 * time.Second},
		"listings begin late":         {2 * time.Second, 7 * time.Second},
	}
	for name, missing := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			completed, ordered := false, false
			play := func(d time.Duration, present bool) {
				for range d / (100 * time.Millisecond) {
					h.advance(100 * time.Millisecond)
					for range takeAll[jobscheduler.ListHosts](h) {
						h.withScheduler(func() { h.sched.HostsListed(h.now, waveHosts(present)) })
					}
					for _, m := range takeAll[jobscheduler.Maintain](h) {
						ordered = ordered || m.Host == "host-a"
						h.withScheduler(func() { h.sched.Maintained(m, jobscheduler.HostOrderDone) })
					}
					for _, begun := range takeAll[jobscheduler.RecordWaveHost](h) {
						h.is.True(ordered) // no host counts before it has been ordered
						completed = true
						h.apply(&jobwire.Command{
							Change: &jobwire.Command_WaveProgress{
								WaveProgress: &jobwire.WaveProgress{
									Id:    begun.Wave,
									Begun: []string{begun.Host},
								},
							},
						})
					}
				}
			}
			for i, d := range missing {
				h.startTerm()
				if i == 0 {
					startWave(h)
				}
				if name == "listings begin late" {
					h.advance(9 * time.Second)
				}
				play(d, false)
			}
			play(5*time.Second, true)
			h.is.True(ordered)
			h.is.True(completed)
		})
	}
}
