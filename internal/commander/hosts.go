package commander

import (
	"net/url"

	"github.com/heathermux/heathermux/internal/operator"
)

func hostCommands(s *session) command {
	return command{
		name:  "host",
		short: "Move and drain hosts",
		long:  "Lists, moves, drains and returns hosts.",
		children: []command{
			{
				name:  "list",
				short: "List hosts",
				long:  "Lists hosts, all of them or those of a pool or data centre.",
				data: &hostList{
					session: s,
				},
			},
			{
				name:  "move",
				short: "Move a host to another pool",
				long:  "Drains a host and moves it to another pool once it is empty.",
				data: &hostMove{
					session: s,
				},
			},
			{
				name:  "drain",
				short: "Drain a host",
				long:  "Drains a host; it takes no new work.",
				data: &hostStateChange{
					session: s,
					action:  "drain",
				},
			},
			{
				name:  "return",
				short: "Return a drained host to service",
				long:  "Returns a drained or maintained host to service.",
				data: &hostStateChange{
					session: s,
					action:  "return",
				},
			},
		},
	}
}

type hostList struct {
	session *session
	Pool    string `long:"pool" value-name:"POOL" description:"Only hosts of this pool"`
	Zone    string `long:"zone" value-name:"ZONE" description:"Only hosts of this data centre"`
}

// Execute lists the hosts that match --pool and --zone.
func (c *hostList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	query := url.Values{
		"pool": {c.Pool},
		"zone": {c.Zone},
	}
	var list operator.HostList
	if err := api.get("/v1/hosts?"+query.Encode(), &list); err != nil {
		return err
	}
	return c.session.show(list, func() {
		c.session.table("HOST\tZONE\tRACK\tPOOL\tSTATE\tMOVING TO\tPROCESSORS\tMEMORY\tACCELERATORS\tREVISION", func(row func(...any)) {
			for _, h := range list.Hosts {
				row(h.Name, h.DataCentre, h.Rack, h.Pool, h.State, h.MovingTo,
					h.Capacity.Processors, h.Capacity.Memory, h.Capacity.Accelerators, h.Revision)
			}
		})
	})
}

// hostArgs is the positional argument of commands on one host.
type hostArgs struct {
	Host string `positional-arg-name:"HOST" description:"Name of the host"`
}

type hostMove struct {
	session *session
	changeOptions
	revisionOption
	Pool string   `long:"pool" value-name:"POOL" required:"yes" description:"Pool that the host goes to"`
	Args hostArgs `positional-args:"yes" required:"yes"`
}

// Execute starts the move of the host, which completes once the host is empty.
func (c *hostMove) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.hostRevision(c.Args.Host) })
	if err != nil {
		return err
	}
	body := operator.HostMove{
		Change: c.change(revision),
		Pool:   c.Pool,
	}
	return api.changeHost(c.Args.Host, "move", body.OperationID, body, " drains and moves to pool "+c.Pool)
}

type hostStateChange struct {
	session *session
	action  string
	changeOptions
	revisionOption
	Args hostArgs `positional-args:"yes" required:"yes"`
}

// Execute drains the host or returns it to service.
func (c *hostStateChange) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.hostRevision(c.Args.Host) })
	if err != nil {
		return err
	}
	text := " drains"
	if c.action == "return" {
		text = " is in service"
	}
	body := c.change(revision)
	return api.changeHost(c.Args.Host, c.action, body.OperationID, body, text)
}

func (c *client) changeHost(host, action, operation string, body any, text string) error {
	answer, err := c.change("/v1/hosts/"+url.PathEscape(host)+"/"+action, operation, body)
	if err != nil {
		return err
	}
	return c.session.showAnswer(answer, "host "+host+text)
}

func (c *client) hostRevision(name string) (uint64, error) {
	var list operator.HostList
	if err := c.get("/v1/hosts?name="+url.QueryEscape(name), &list); err != nil {
		return 0, err
	}
	for _, h := range list.Hosts {
		if h.Name == name {
			return h.Revision, nil
		}
	}
	return 0, nil
}
