package commander

import (
	"net/url"

	"github.com/heathermux/heathermux/internal/operator"
)

func keyCommands(s *session) command {
	return command{
		name:  "key",
		short: "Grant and withdraw keys",
		long:  "Grants, withdraws and lists keys.",
		children: []command{
			{
				name:  "list",
				short: "List keys",
				long:  "Lists the granted keys; the keys themselves are not stored.",
				data: &keyList{
					session: s,
				},
			},
			{
				name:  "grant",
				short: "Grant a key and print it once",
				long:  "Makes a random key, grants it and prints it. It can't be printed again.",
				data: &keyGrant{
					session: s,
				},
			},
			{
				name:  "withdraw",
				short: "Withdraw a key",
				long:  "Withdraws a key; it stops working on all entry hosts within seconds.",
				data: &keyWithdraw{
					session: s,
				},
			},
		},
	}
}

type keyList struct {
	session *session
}

// Execute lists the granted keys.
func (c *keyList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list operator.KeyList
	if err := api.get("/v1/keys", &list); err != nil {
		return err
	}
	return c.session.show(list, func() {
		c.session.table("KEY\tROLE\tTEAM\tREVISION", func(row func(...any)) {
			for _, k := range list.Keys {
				row(k.ID, k.Role, k.Team, k.Revision)
			}
		})
	})
}

type keyGrant struct {
	session *session
	changeOptions
	Team string `long:"team" value-name:"TEAM" description:"Team of a submitter"`
	Role string `long:"role" choice:"submitter" choice:"operator" default:"submitter" description:"Role of the key"`
	ID   string `long:"id" value-name:"ID" description:"ID of the key; without it one is made from the operation ID"`
}

// Execute generates the key locally and sends only its hash. The key thus never
// crosses the network, and a resend after a lost answer carries the same hash.
func (c *keyGrant) Execute([]string) error {
	if (c.Role == "submitter") == (c.Team == "") {
		return usageError("a submitter key needs --team, an operator key takes none")
	}
	api, err := c.session.client()
	if err != nil {
		return err
	}
	secret := operator.NewKey()
	body := operator.KeyGrant{
		Change: c.change(0),
		ID:     c.ID,
		Team:   c.Team,
		Role:   c.Role,
		SHA256: operator.HashKey(secret),
	}
	answer, err := api.change("/v1/keys", body.OperationID, body)
	if err != nil {
		return err
	}
	if answer.Key == nil {
		return failure(errNoKey)
	}
	answer.Key.Key = secret
	return c.session.showAnswer(answer, "key "+answer.Key.ID+" is granted; it is shown only now:\n"+secret)
}

type keyWithdraw struct {
	session *session
	changeOptions
	revisionOption
	Args struct {
		ID string `positional-arg-name:"ID" description:"ID of the key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute withdraws the key.
func (c *keyWithdraw) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	revision, err := c.resolveRevision(func() (uint64, error) { return api.keyRevision(c.Args.ID) })
	if err != nil {
		return err
	}
	body := c.change(revision)
	answer, err := api.change("/v1/keys/"+url.PathEscape(c.Args.ID)+"/withdraw", body.OperationID, body)
	if err != nil {
		return err
	}
	return c.session.showAnswer(answer, "key "+c.Args.ID+" is withdrawn")
}

func (c *client) keyRevision(id string) (uint64, error) {
	var list operator.KeyList
	if err := c.get("/v1/keys", &list); err != nil {
		return 0, err
	}
	for _, k := range list.Keys {
		if k.ID == id {
			return k.Revision, nil
		}
	}
	return 0, nil
}
