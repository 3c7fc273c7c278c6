package commander

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/heathermux/heathermux/internal/operator"
)

func poolCommands(s *session) command {
	return command{
		name:  "pool",
		short: "Take pools out of service and back",
		long:  "Lists pools, takes them out of service, drains and returns them.",
		children: []command{
			{
				name:  "list",
				short: "List pools",
				long:  "Lists the pools with their hosts and budgets.",
				data: &poolList{
					session: s,
				},
			},
			{
				name:  "out",
				short: "Take a pool out of service",
				long:  "Takes a pool out of service; its queues take no new work.",
				data: &poolStateChange{
					session: s,
					state:   "out",
				},
			},
			{
				name:  "in",
				short: "Return a pool to service",
				long:  "Returns a pool to service.",
				data: &poolReturn{
					session: s,
				},
			},
			{
				name:  "drain",
				short: "Take a pool out and drain its hosts",
				long:  "Takes a pool out of service and drains as many of its hosts as the availability budget allows.",
				data: &poolStateChange{
					session: s,
					state:   "drain",
				},
			},
		},
	}
}

type poolList struct {
	session *session
}

// Execute lists the pools.
func (c *poolList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list operator.PoolList
	if err := api.get("/v1/pools", &list); err != nil {
		return err
	}
	return c.session.show(list, func() { c.session.showPools(list.Pools) })
}

func (s *session) showPools(pools []operator.Pool) {
	s.table("POOL\tSTATE\tHOSTS\tUNAVAILABLE\tBUDGET\tMIN\tMAX\tFAVOURS\tSPARE\tREVISION", func(row func(...any)) {
		for _, p := range pools {
			row(p.Name, p.State, p.Hosts, p.Unavailable, p.AvailabilityBudget, p.MinHosts, p.MaxHosts, p.Favour, p.Spare, p.Revision)
		}
	})
}

// poolArgs is the positional argument of commands on one pool.
type poolArgs struct {
	Pool string `positional-arg-name:"POOL" description:"Name of the pool"`
}

type poolStateChange struct {
	session *session
	state   string
	changeOptions
	revisionOption
	Args poolArgs `positional-args:"yes" required:"yes"`
}

// Execute takes the pool out of service and, for the command drain, drains its
// hosts.
func (c *poolStateChange) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.poolRevision(c.Args.Pool) })
	if err != nil {
		return err
	}
	body := c.change(revision)
	return api.changePool(c.Args.Pool, c.state, body.OperationID, body, "hosts left active, because the availability budget allows no more at once")
}

type poolReturn struct {
	session *session
	changeOptions
	revisionOption
	ReturnHosts bool     `long:"return-hosts" description:"Also return the hosts of the pool that were drained by operators"`
	Args        poolArgs `positional-args:"yes" required:"yes"`
}

// Execute returns the pool to service and, with --return-hosts, its drained hosts.
func (c *poolReturn) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.poolRevision(c.Args.Pool) })
	if err != nil {
		return err
	}
	body := operator.PoolReturn{
		Change:      c.change(revision),
		ReturnHosts: c.ReturnHosts,
	}
	return api.changePool(c.Args.Pool, "in", body.OperationID, body, "hosts not returned, because another change came first")
}

func (c *client) changePool(pool, state, operation string, body any, hostsLeftText string) error {
	answer, err := c.change("/v1/pools/"+url.PathEscape(pool)+"/"+state, operation, body)
	if err != nil {
		return err
	}
	text := "pool " + pool + stateTexts[state]
	if len(answer.Hosts) > 0 {
		text += "\nhosts changed: " + strings.Join(answer.Hosts, ", ")
	}
	if answer.HostsLeft > 0 {
		text += fmt.Sprintf("\n%s: %d", hostsLeftText, answer.HostsLeft)
	}
	return c.session.showAnswer(answer, text)
}

func (c *client) poolRevision(name string) (uint64, error) {
	var list operator.PoolList
	if err := c.get("/v1/pools", &list); err != nil {
		return 0, err
	}
	for _, p := range list.Pools {
		if p.Name == name {
			return p.Revision, nil
		}
	}
	return 0, nil
}
