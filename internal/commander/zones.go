package commander

import (
	"net/url"
	"time"

	"github.com/heathermux/heathermux/internal/operator"
)

func zoneCommands(s *session) command {
	return command{
		name:  "zone",
		short: "Take data centres out of service and back",
		long:  "Lists data centres, takes them out of service and returns them.",
		children: []command{
			{
				name:  "list",
				short: "List data centres",
				long:  "Lists the data centres and their states.",
				data: &zoneList{
					session: s,
				},
			},
			{
				name:  "out",
				short: "Take a data centre out of service",
				long:  "Takes a data centre out of service; no task starts there after the printed time.",
				data: &zoneStateChange{
					session: s,
					state:   "out",
				},
			},
			{
				name:  "in",
				short: "Return a data centre to service",
				long:  "Returns a data centre to service; its load rises over 30 s.",
				data: &zoneStateChange{
					session: s,
					state:   "in",
				},
			},
		},
	}
}

type zoneList struct {
	session *session
}

// Execute lists the data centres.
func (c *zoneList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list operator.ZoneList
	if err := api.get("/v1/zones", &list); err != nil {
		return err
	}
	return c.session.show(list, func() { c.session.showZones(list.Zones) })
}

func (s *session) showZones(zones []operator.Zone) {
	s.table("ZONE\tREGION\tSTATE\tCHANGED\tSCHEDULER\tREVISION", func(row func(...any)) {
		for _, z := range zones {
			row(z.Name, z.Region, z.State, shortTime(z.ChangedAt), z.Scheduler, z.Revision)
		}
	})
}

func shortTime(t *time.Time) string {
	if t == nil {
		return ""
	}
	return t.Format(time.RFC3339)
}

var stateTexts = map[string]string{
	"out":    " is out of service",
	"in":     " is in service",
	"drain":  " is out of service and drains",
	"return": " is in service",
}

type zoneStateChange struct {
	session *session
	state   string
	changeOptions
	revisionOption
	Args struct {
		Zone string `positional-arg-name:"ZONE" description:"Name of the data centre"`
	} `positional-args:"yes" required:"yes"`
}

// Execute takes the data centre out of service or returns it to service.
func (c *zoneStateChange) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.zoneRevision(c.Args.Zone) })
	if err != nil {
		return err
	}
	body := c.change(revision)
	answer, err := api.change("/v1/zones/"+url.PathEscape(c.Args.Zone)+"/"+c.state, body.OperationID, body)
	if err != nil {
		return err
	}
	return c.session.showAnswer(answer, "zone "+c.Args.Zone+stateTexts[c.state])
}

func (c *client) zoneRevision(name string) (uint64, error) {
	var list operator.ZoneList
	if err := c.get("/v1/zones", &list); err != nil {
		return 0, err
	}
	for _, z := range list.Zones {
		if z.Name == name {
			return z.Revision, nil
		}
	}
	return 0, nil
}
