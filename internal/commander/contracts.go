package commander

import (
	"io"
	"net/url"
	"os"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/operator"
)

func contractCommands(s *session) command {
	return command{
		name:  "contract",
		short: "Show and change contracts",
		long:  "Shows and changes the contracts of customers.",
		children: []command{
			{
				name:  "list",
				short: "List contracts",
				long:  "Lists all contracts with their teams.",
				data: &contractList{
					session: s,
				},
			},
			{
				name:  "get",
				short: "Print a contract as a file to edit",
				long:  "Prints the contract of a customer as a file for contract apply.",
				data: &contractGet{
					session: s,
				},
			},
			{
				name:  "apply",
				short: "Apply a contract file",
				long:  "Applies a contract file. Its revision must be that of the present contract, 0 for a new one.",
				data: &contractApply{
					session: s,
				},
			},
		},
	}
}

type contractList struct {
	session *session
}

// Execute lists the contracts with one row per team.
func (c *contractList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list operator.ContractList
	if err := api.get("/v1/contracts", &list); err != nil {
		return err
	}
	return c.session.show(list, func() {
		c.session.table("CUSTOMER\tTEAM\tSHARE\tPROCESSORS\tMEMORY\tACCELERATORS\tREQUESTS\tCONCURRENCY\tREVISION", func(row func(...any)) {
			for _, file := range list.Contracts {
				for _, t := range file.Contract.Teams {
					row(file.Contract.Customer, t.Name, t.Share, t.Limit.Processors, t.Limit.Memory, t.Limit.Accelerators,
						t.RequestRate, t.RequestConcurrency, file.Revision)
				}
			}
		})
	})
}

type contractGet struct {
	session *session
	Args    struct {
		Customer string `positional-arg-name:"CUSTOMER" description:"Name of the customer"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the contract as a contract file, which is JSON with any --output.
func (c *contractGet) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var file loader.ContractFile
	if err := api.get("/v1/contracts/"+url.PathEscape(c.Args.Customer), &file); err != nil {
		return err
	}
	return c.session.printJSON(file)
}

type contractApply struct {
	session *session
	changeOptions
	File     string  `long:"file" value-name:"FILE" required:"yes" description:"Contract file, or - for the standard input"`
	Revision *uint64 `long:"revision" value-name:"N" description:"Revision in place of the one in the file"`
}

// Execute applies the contract file.
func (c *contractApply) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	file, err := c.read()
	if err != nil {
		return err
	}
	revision := uint64(file.Revision)
	if c.Revision != nil {
		revision = *c.Revision
	}
	body := operator.ContractChange{
		Change:   c.change(revision),
		Contract: file.Contract,
	}
	answer, err := api.change("/v1/contracts", body.OperationID, body)
	if err != nil {
		return err
	}
	return c.session.showAnswer(answer, "contract of "+file.Contract.Customer+" is applied")
}

func (c *contractApply) read() (loader.ContractFile, error) {
	var data []byte
	var err error
	if c.File == "-" {
		data, err = io.ReadAll(c.session.stdin)
	} else {
		data, err = os.ReadFile(c.File)
	}
	if err != nil {
		return loader.ContractFile{}, usageError("file: %v", err)
	}
	file, problems := loader.ParseContract(c.File, data)
	if len(problems) > 0 {
		return loader.ContractFile{}, usageError("the contract file has problems\n%s", problems)
	}
	return file, nil
}
