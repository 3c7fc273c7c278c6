package configchecker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// compare adds what differs from the configuration in force.
func (c *checker) compare(next, inForce *jobwire.Configuration) {
	if next.GetVersion() <= inForce.GetVersion() {
		c.add(Doubtful, "version", fmt.Sprintf("%d is acknowledged and changes nothing: %d is in force", next.GetVersion(), inForce.GetVersion()))
	}
	if a, b := inForce.GetBodyLimitBytes(), next.GetBodyLimitBytes(); a != b {
		c.add(Changed, "limits", fmt.Sprintf("body limit %d bytes, was %d", b, a))
	}
	compareEntries(c, "queue", byName(inForce.GetQueues()), byName(next.GetQueues()), queueFields)
	compareEntries(c, "pool", byName(inForce.GetPools()), byName(next.GetPools()), poolFields)
	compareEntries(c, "account", byName(inForce.GetAccounts()), byName(next.GetAccounts()), accountFields)
	c.compareKeys(byName(inForce.GetAccounts()), byName(next.GetAccounts()))
}

// named is an entry of a configuration.
type named interface{ GetName() string }

func byName[E named](entries []E) map[string]E {
	m := make(map[string]E, len(entries))
	for _, e := range entries {
		m[e.GetName()] = e
	}
	return m
}

// field is a field of an entry as an operator reads it.
type field struct {
	name  string
	value string
}

// compareEntries adds the entries that are new, gone, or changed in a field.
func compareEntries[E named](c *checker, kind string, before, after map[string]E, fields func(E) []field) {
	for _, name := range sorted(before, after) {
		entry := fmt.Sprintf("%s %q", kind, name)
		old, wasThere := before[name]
		changed, isThere := after[name]
		switch {
		case !wasThere:
			c.add(Changed, entry, "is new")
		case !isThere:
			c.add(Changed, entry, "is removed")
		default:
			c.compareFields(entry, fields(old), fields(changed))
		}
	}
}

func (c *checker) compareFields(entry string, before, after []field) {
	var changes []string
	for i, f := range after {
		if f.value != before[i].value {
			changes = append(changes, fmt.Sprintf("%s %s, was %s", f.name, f.value, before[i].value))
		}
	}
	if len(changes) > 0 {
		c.add(Changed, entry, strings.Join(changes, "; "))
	}
}

// newField returns a field with its value in a format of package fmt.
func newField(name, format string, value any) field {
	return field{
		name:  name,
		value: fmt.Sprintf(format, value),
	}
}

func queueFields(q *jobwire.Queue) []field {
	return []field{
		newField("host", "%q", q.GetHost()),
		newField("prefix", "%q", q.GetPrefix()),
		newField("pool", "%q", q.GetPool()),
		newField("timeout", "%v", time.Duration(q.GetTimeoutNanos())),
		newField("target latency", "%v", time.Duration(q.GetTargetNanos())),
		newField("priority", "%d", q.GetPriority()),
		newField("attempts", "%d", q.GetAttempts()),
		newField("stretch", "%v", q.GetStretch()),
		newField("public", "%v", q.GetPublic()),
		newField("advised", "%v", q.GetAdvised()),
		newField("time of a decision of the adviser", "%v", time.Duration(q.GetAdviceNanos())),
		newField("time of it for each worker", "%v", time.Duration(q.GetAdvicePerWorkerNanos())),
		newField("validity of tickets", "%v", time.Duration(q.GetAdviceValidNanos())),
	}
}

func poolFields(p *jobwire.Pool) []field {
	return []field{
		newField("workers refuse what does not fit", "%v", p.GetGuards()),
		newField("standby", "%v", p.GetStandby()),
	}
}

func accountFields(a *jobwire.Account) []field {
	return []field{
		newField("weight", "%d", a.GetWeight()),
		newField("priority", "%d", a.GetPriority()),
		newField("ceiling of processors", "%d millicores", a.GetCeiling().GetMilliCores()),
		newField("ceiling of memory", "%d bytes", a.GetCeiling().GetMemoryBytes()),
		newField("ceiling of accelerators", "%d", a.GetCeiling().GetAccelerators()),
	}
}

// compareKeys adds how many keys of each account are granted and withdrawn. It names none,
// since keys are secret.
func (c *checker) compareKeys(before, after map[string]*jobwire.Account) {
	for _, name := range sorted(before, after) {
		old, changed := before[name].GetKeys(), after[name].GetKeys()
		granted, withdrawn := countMissing(changed, old), countMissing(old, changed)
		if granted+withdrawn > 0 {
			c.add(Changed, fmt.Sprintf("account %q", name), fmt.Sprintf("%d keys granted, %d withdrawn", granted, withdrawn))
		}
	}
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}
