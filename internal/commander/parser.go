package commander

import (
	"strings"

	"github.com/jessevdk/go-flags"
)

// command is one node of the command tree. A node without data only groups its
// children.
type command struct {
	name, short, long string
	data              any
	children          []command
}

func newParser(s *session) (*flags.Parser, error) {
	parser := flags.NewNamedParser("heathermux", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Fleet capacity and maintenance manager."
	if _, err := parser.AddGroup("Client Options", "Options of the commands that call the operators' API", &s.options); err != nil {
		return nil, err
	}
	parser.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return usageError("unexpected argument: %s", strings.Join(rest, " "))
		}
		return cmd.Execute(nil)
	}
	return parser, addCommands(parser.Command, commandTree(s))
}

func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		if c.data == nil {
			c.data = &struct{}{}
		}
		added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.children); err != nil {
			return err
		}
	}
	return nil
}

func commandTree(s *session) []command {
	return append(
		programCommands(s),
		contractCommands(s),
		keyCommands(s),
		zoneCommands(s),
		poolCommands(s),
		hostCommands(s),
		maintenanceCommands(s),
		jobCommands(s),
	)
}
