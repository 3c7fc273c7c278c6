// Package jobserver offers the conductor and the agent of a host to other
// hosts, as services of a messenger.
package jobserver

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/conductor"
	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/messenger"
)

// Register adds the services to a server that does not serve yet. The conductor
// may be nil on a host that never leads; calls to it fail there.
func Register(s *messenger.Server, c *conductor.Conductor, a *courier.Agent) error {
	if c != nil {
		if err := s.Register("Jobs", &jobs{conductor: c}); err != nil {
			return errors.Wrap(err, "jobserver")
		}
	}
	return errors.Wrap(s.Register("Courier", &carrier{agent: a}), "jobserver")
}

// jobs takes calls that other hosts pass on.
type jobs struct{ conductor *conductor.Conductor }

// Job answers a call of a submitter.
func (s *jobs) Job(req *messenger.Request[jobwire.JobRequest], resp *jobwire.JobResponse) error {
	proto.Merge(resp, s.conductor.Job(req.Context(), req.Message))
	return nil
}

// Control answers a call of a worker or an operator.
func (s *jobs) Control(req *messenger.Request[jobwire.ControlRequest], resp *jobwire.ControlResponse) error {
	proto.Merge(resp, s.conductor.Control(req.Context(), req.Message))
	return nil
}

// carrier takes orders that the leader on another host gives.
type carrier struct{ agent *courier.Agent }

// Carry takes orders to workers.
func (s *carrier) Carry(req *messenger.Request[jobwire.CarryRequest], _ *jobwire.CarryResponse) error {
	return s.agent.Carry(req.Message)
}

// Collect hands over the outcomes of orders.
func (s *carrier) Collect(req *messenger.Request[jobwire.CollectRequest], resp *jobwire.CollectResponse) error {
	answer, err := s.agent.Collect(req.Context(), req.Message)
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}
