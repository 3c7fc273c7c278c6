package jobcontroller_test

import (
	"context"
	"testing"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// A wave must be shown as completed once all its hosts have begun, also if its caller names a host
// twice. Each host begins once, so such a wave never ended.
func TestWaveCompletes(t *testing.T) {
	cases := map[string]struct {
		hosts []string
		begun []string
		want  bool
	}{
		"all":                  {hosts: []string{"a", "b"}, begun: []string{"a", "b"}, want: true},
		"one of two":           {hosts: []string{"a", "b"}, begun: []string{"b"}},
		"one of two, twice":    {hosts: []string{"a", "b", "a"}, begun: []string{"a"}},
		"named twice":          {hosts: []string{"a", "b", "a"}, begun: []string{"a", "b"}, want: true},
		"named twice in a row": {hosts: []string{"a", "a"}, begun: []string{"a"}, want: true},
	}
	s := newHarness(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := s.with(t)
			s.is.Equal(s.controller.Control(context.Background(), &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_Wave{
					Wave: &jobwire.Wave{
						Id:    name,
						Hosts: c.hosts,
					},
				},
			}).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			s.log.apply(&jobwire.Command{
				Change: &jobwire.Command_WaveProgress{
					WaveProgress: &jobwire.WaveProgress{
						Id:    name,
						Begun: c.begun,
					},
				},
			})
			resp := s.controller.Control(context.Background(), &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_ReadWave{
					ReadWave: &jobwire.ReadWave{
						Id: name,
					},
				},
			})
			s.is.Equal(resp.GetWaveCompleted(), c.want)
		})
	}
}
