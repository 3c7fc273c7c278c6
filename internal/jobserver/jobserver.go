// Package jobserver serves the job controller and the order relay of a host to other
// hosts over RPC.
package jobserver

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobcontroller"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/ordersender"
)

// Register registers the services with a server that does not serve yet. The
// controller may be nil on a host that never leads; calls of its methods fail there.
func Register(s *messenger.Server, c *jobcontroller.Controller, relay *ordersender.Relay) error {
	if c != nil {
		if err := s.Register("Jobs", &jobsService{controller: c}); err != nil {
			return errors.Wrap(err, "jobserver")
		}
	}
	return errors.Wrap(s.Register("Courier", &relayService{relay: relay}), "jobserver")
}

// jobsService is the RPC service for the calls that other hosts forward to the
// leader.
type jobsService struct{ controller *jobcontroller.Controller }

// Job handles a call of a submitter.
func (s *jobsService) Job(req *messenger.Request[jobwire.JobRequest], resp *jobwire.JobResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	proto.Merge(resp, s.controller.Job(req.Context(), req.Message))
	return nil
}

// Control handles a call of a worker or an operator.
func (s *jobsService) Control(req *messenger.Request[jobwire.ControlRequest], resp *jobwire.ControlResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	proto.Merge(resp, s.controller.Control(req.Context(), req.Message))
	return nil
}

// relayService is the RPC service through which the leader delegates the delivery
// of orders to this host.
type relayService struct{ relay *ordersender.Relay }

// Carry accepts orders for workers and returns before they are delivered.
func (s *relayService) Carry(req *messenger.Request[jobwire.CarryRequest], _ *jobwire.CarryResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	return s.relay.Carry(req.Message)
}

// Collect waits for outcomes of orders and returns them.
func (s *relayService) Collect(req *messenger.Request[jobwire.CollectRequest], resp *jobwire.CollectResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	answer, err := s.relay.Collect(req.Context(), req.Message)
	if err != nil {
		return err
	}
	proto.Merge(resp, answer)
	return nil
}
