package commander

import (
	"cmp"

	"github.com/heathermux/heathermux/internal/operator"
)

func maintenanceCommands(s *session) command {
	return command{
		name:  "maintenance",
		short: "Start and follow maintenance",
		long:  "Starts maintenance roll-outs and shows their progress.",
		children: []command{
			{
				name:  "start",
				short: "Start a roll-out",
				long:  "Starts a maintenance roll-out over one pool or all pools.",
				data: &maintenanceStart{
					session: s,
				},
			},
			{
				name:  "status",
				short: "Show the progress of roll-outs",
				long:  "Shows all roll-outs, the oldest first.",
				data: &maintenanceStatus{
					session: s,
				},
			},
		},
	}
}

type maintenanceStart struct {
	session *session
	changeOptions
	Pool string `long:"pool" value-name:"POOL" description:"Pool to maintain; without it all pools"`
}

// Execute starts a maintenance roll-out.
func (c *maintenanceStart) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	body := operator.MaintenanceStart{
		Change: c.change(0),
		Pool:   c.Pool,
	}
	answer, err := api.change("/v1/maintenance", body.OperationID, body)
	if err != nil {
		return err
	}
	scope := "all pools"
	if c.Pool != "" {
		scope = "pool " + c.Pool
	}
	return c.session.showAnswer(answer, "maintenance over "+scope+" is started")
}

type maintenanceStatus struct {
	session *session
}

// Execute lists the maintenance roll-outs with their progress.
func (c *maintenanceStatus) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list operator.MaintenanceList
	if err := api.get("/v1/maintenance", &list); err != nil {
		return err
	}
	return c.session.show(list, func() {
		c.session.table("WAVE\tPOOL\tSTATE\tSTARTED\tDONE\tDOWN\tWAITING", func(row func(...any)) {
			for _, m := range list.Maintenance {
				state := "running"
				if m.Done {
					state = "done"
				}
				row(m.Wave, cmp.Or(m.Pool, "all"), state, shortTime(m.StartedAt), m.HostsDone, m.HostsDown, m.HostsWaiting)
			}
		})
	})
}
