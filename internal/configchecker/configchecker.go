// Package configchecker examines a configuration before it is sent: whether the leader would
// take it, which entries can never have an effect, which limits contradict each other, and what
// it changes. It performs no I/O.
package configchecker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Severity tells what a finding means for an operator.
type Severity string

// The severities of findings.
const (
	// Invalid findings make the leader refuse the configuration.
	Invalid Severity = "error"
	// Doubtful findings are taken and do not do what is written.
	Doubtful Severity = "warning"
	// Changed findings are differences from the configuration in force.
	Changed Severity = "difference"
)

// Finding is one thing that an operator should know.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names what the finding is about, such as `queue "scans"`.
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Text) }

// Check examines a configuration. InForce is the one that it would replace; nil if it is not
// known, and then no differences are told.
func Check(next, inForce *jobwire.Configuration) []Finding {
	c := &checker{}
	if err := jobkeeper.Check(next); err != nil {
		c.add(Invalid, "configuration", err.Error())
	}
	c.checkQueues(next)
	c.checkPools(next)
	c.checkAccounts(next)
	if inForce != nil {
		c.compare(next, inForce)
	}
	return c.findings
}

// Worst returns the severity that counts most among findings; empty if there are none.
func Worst(findings []Finding) Severity {
	for _, severity := range []Severity{Invalid, Doubtful, Changed} {
		if slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == severity }) {
			return severity
		}
	}
	return ""
}

type checker struct {
	findings []Finding
}

func (c *checker) add(severity Severity, entry, text string) {
	c.findings = append(c.findings, Finding{
		Severity: severity,
		Entry:    entry,
		Text:     text,
	})
}

// warn adds a warning about an entry if a condition holds.
func (c *checker) warn(holds bool, entry, text string) {
	if holds {
		c.add(Doubtful, entry, text)
	}
}

func (c *checker) checkQueues(cfg *jobwire.Configuration) {
	standby := make(map[string]bool)
	for _, p := range cfg.GetPools() {
		standby[p.GetName()] = p.GetStandby()
	}
	for _, q := range cfg.GetQueues() {
		entry := fmt.Sprintf("queue %q", q.GetName())
		timeout, target := time.Duration(q.GetTimeoutNanos()), time.Duration(q.GetTargetNanos())
		c.warn(q.GetHost() != strings.ToLower(q.GetHost()), entry, fmt.Sprintf("host %q never matches: hosts of calls are compared in lower case", q.GetHost()))
		c.warn(strings.Contains(q.GetHost(), ":"), entry, fmt.Sprintf("host %q never matches: hosts of calls are compared without their port", q.GetHost()))
		c.warn(!strings.HasPrefix(q.GetPrefix(), "/"), entry, fmt.Sprintf("prefix %q never matches: paths begin with a slash", q.GetPrefix()))
		c.warn(standby[q.GetPool()], entry, fmt.Sprintf("pool %q is on standby: its hosts are off, so jobs wait for ever", q.GetPool()))
		c.warn(q.GetStretch() < 1 && target == 0, entry, "no job can be in time: the stretch is below 1 and the target latency is 0")
		c.warn(timeout > 0 && target > timeout, entry, fmt.Sprintf("the target latency %v is longer than the timeout %v", target, timeout))
		c.warn(q.GetAttempts() <= 0, entry, "attempts below 1 count as 1")
		c.warn(q.GetAdvised() && q.GetAdviceValidNanos() <= q.GetAdviceNanos(), entry, "tickets of the adviser end before it has decided: the validity is no longer than the decision")
	}
}

func (c *checker) checkPools(cfg *jobwire.Configuration) {
	used := make(map[string]bool)
	for _, q := range cfg.GetQueues() {
		used[q.GetPool()] = true
	}
	for _, p := range cfg.GetPools() {
		c.warn(!used[p.GetName()] && !p.GetStandby(), fmt.Sprintf("pool %q", p.GetName()), "no queue uses it, and its hosts are on")
	}
}

func (c *checker) checkAccounts(cfg *jobwire.Configuration) {
	names := make(map[string]bool)
	for _, a := range cfg.GetAccounts() {
		entry := fmt.Sprintf("account %q", a.GetName())
		ceiling := a.GetCeiling()
		c.warn(names[a.GetName()], entry, "it stands twice; the weight and the ceiling of one of them hold")
		names[a.GetName()] = true
		c.warn(len(a.GetKeys()) == 0, entry, "it has no key, so it can submit nothing but to public queues")
		c.warn(a.GetWeight() <= 0, entry, fmt.Sprintf("weight %d counts as 1", a.GetWeight()))
		c.warn(ceiling.GetMilliCores() < 0 || ceiling.GetMemoryBytes() < 0 || ceiling.GetAccelerators() < 0, entry, "a ceiling below 0 is no limit")
	}
}

// sorted returns the keys of two maps without repetitions.
func sorted[V any](a, b map[string]V) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
