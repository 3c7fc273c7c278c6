package commander

import (
	"fmt"

	"github.com/heathermux/heathermux/internal/loader"
)

type check struct {
	session    *session
	Config     string `long:"config" value-name:"FILE" description:"Settings file of an entry host; the deployment file that it names is checked too"`
	Deployment string `long:"deployment" value-name:"FILE" description:"Deployment file"`
	Explain    bool   `long:"explain" description:"List every setting with its default and what is allowed, and check nothing"`
}

// checkOutput is the output of a check with --output json.
type checkOutput struct {
	Problems []checkProblem `json:"problems"`
}

type checkProblem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Execute reports all problems of the files, or with --explain lists the settings.
func (c *check) Execute([]string) error {
	if c.Explain {
		return c.session.explain()
	}
	if c.Config == "" && c.Deployment == "" {
		return usageError("name a file with --config or --deployment")
	}
	_, problems := readFiles(c.Config, c.Deployment)
	err := c.session.show(newCheckOutput(problems), func() {
		if len(problems) > 0 {
			c.session.print("%s\n", problems)
		} else {
			c.session.print("no problems\n")
		}
	})
	if err == nil && len(problems) > 0 {
		return failure(fmt.Errorf("problems found: %d", len(problems)))
	}
	return err
}

func (s *session) explain() error {
	settings := loader.Describe()
	return s.show(settings, func() {
		s.table("SETTING\tDEFAULT\tALLOWED", func(row func(...any)) {
			for _, d := range settings {
				row(d.Path, d.Default, d.Allowed)
			}
		})
	})
}

func newCheckOutput(problems loader.Problems) checkOutput {
	out := checkOutput{
		Problems: make([]checkProblem, 0, len(problems)),
	}
	for _, p := range problems {
		out.Problems = append(out.Problems, checkProblem(p))
	}
	return out
}

// readFiles reads the settings file and the deployment file and collects their
// problems. Without a deployment path it reads the file that the settings name. A
// file whose path is empty is skipped.
func readFiles(config, deployment string) (loader.Settings, loader.Problems) {
	var settings loader.Settings
	var problems loader.Problems
	if config != "" {
		settings, problems = loader.ReadSettings(config)
	}
	if deployment == "" {
		deployment = settings.Bootstrap
	}
	if deployment != "" {
		_, more := loader.ReadDeployment(deployment)
		problems = append(problems, more...)
	}
	return settings, problems
}
