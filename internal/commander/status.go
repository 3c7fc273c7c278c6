package commander

import (
	"strings"

	"github.com/heathermux/heathermux/internal/operator"
)

type status struct {
	session *session
}

// Execute prints the state of the deployment as the entry host knows it.
func (c *status) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var st operator.Status
	if err := api.get("/v1/status", &st); err != nil {
		return err
	}
	return c.session.show(st, func() { c.session.showStatus(st) })
}

func (s *session) showStatus(st operator.Status) {
	s.print("entry host %s in %s, revision %d, lease left %s\n", st.EntryHost, st.DataCentre, st.Revision, st.LeaseLeft)
	s.print("leader %s, voters %s, view %d\n\n", orDash(st.Leader), strings.Join(st.Voters, " "), st.ViewEpoch)
	s.table("ENTRY HOST\tZONE\tPEER ADDRESS", func(row func(...any)) {
		for _, h := range st.EntryHosts {
			row(h.Name, h.DataCentre, h.PeerAddress)
		}
	})
	s.print("\n")
	s.showZones(st.Zones)
	s.print("\n")
	s.showPools(st.Pools)
	if len(st.Queues) > 0 {
		s.print("\n")
		s.showQueues(st.Queues)
	}
	if len(st.Teams) > 0 {
		s.print("\n")
		s.showTeams(st.Teams)
	}
}

func (s *session) showQueues(queues []operator.QueueStatus) {
	s.table("QUEUE\tUPSTREAMS\tIN FLIGHT\tWAITING", func(row func(...any)) {
		for _, q := range queues {
			row(q.Queue, q.Upstreams, q.InFlight, q.Waiting)
		}
	})
}

func (s *session) showTeams(teams []operator.TeamStatus) {
	s.table("TEAM\tRUNS PROCESSORS\tMEMORY\tACCELERATORS\tWAITS FOR PROCESSORS\tMEMORY\tACCELERATORS", func(row func(...any)) {
		for _, t := range teams {
			row(t.Team, t.Running.Processors, t.Running.Memory, t.Running.Accelerators,
				t.Waiting.Processors, t.Waiting.Memory, t.Waiting.Accelerators)
		}
	})
}
