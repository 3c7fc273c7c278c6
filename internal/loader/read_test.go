package loader_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/loader"
)

const validSettings = `{
  "name": "e-1", "region": "r", "data-centre": "a",
  "http-address": "127.0.0.1:8080", "peer-address": "127.0.0.1:7080",
  "data-folder": "data",
  "voters": ["e-1"],
  "peers": [{"name": "e-1", "peer-address": "127.0.0.1:7080", "data-centre": "a"}],
}`

const validDeployment = `{
  "data-centres": [{"name": "a", "region": "r"}],
  "pools": [{"name": "p", "availability-budget": 1, "max-hosts": 9, "favour": "cost"}],
  "queues": [{"name": "q", "kind": "tasks", "pool": "p"}],
  "contracts": [{"customer": "c", "home-region": "r", "teams": [{"name": "t", "share": 1, "queues": ["q"]}]}],
  "hosts": [{"name": "h-[1-3]", "data-centre": "a", "rack": "k", "per-rack": 2, "pools": ["p"]}],
  "keys": [{"id": "k", "role": "operator", "sha256": "aa9c87874bb0cb0ea2dbddf74b76ff76d01deaa37112aa061c0ca599f2a3db77"}],
}`

// wantProblem fails the test unless one of the problems contains the text.
func wantProblem(t *testing.T, problems loader.Problems, want string) {
	t.Helper()
	if !strings.Contains(problems.String(), want) {
		t.Errorf("got\n%s\nwant\n%s", problems, want)
	}
}

// Each invalid settings file must be refused with the right problem at the right
// position.
func TestSettingsRefusals(t *testing.T) {
	// Each case is a text of the valid file, its replacement and the problem.
	tests := map[string][3]string{
		"not JSON":                {`"e-1", "region"`, `"e-1" "region"`, "2:17: invalid character '\"' after object value (expecting ',' or '}'); allowed: JSON with comments"},
		"unknown member":          {`"region"`, `"regoin": "x", "region"`, "2:18: regoin is not known; allowed: bootstrap, data-centre, "},
		"member twice":            {`"region"`, `"region": "x", "region"`, "2:33: region is given twice; allowed: once"},
		"member missing":          {`"region": "r", `, ``, "1:1: region is missing; allowed: 1 to 63 lower-case"},
		"wrong kind":              {`"region": "r"`, `"region": 5`, "2:28: region can't be 5; allowed: 1 to 63"},
		"null":                    {`"region": "r"`, `"region": null`, "2:28: region can't be null; allowed: 1 to 63"},
		"list for an object":      {`"data-folder"`, `"limits": [], "data-folder"`, "4:13: limits can't be a list; allowed: an object"},
		"duration without unit":   {`"data-folder"`, `"request-deadline": 5, "data-folder"`, `4:23: request-deadline can't be 5; allowed: a duration from "10ms" to "5m"`},
		"duration too long":       {`"data-folder"`, `"request-deadline": "6m", "data-folder"`, `4:23: request-deadline can't be "6m"; allowed: a duration from "10ms" to "5m"`},
		"memory without unit":     {`"data-folder"`, `"limits": {"body": "5"}, "data-folder"`, `4:22: limits.body can't be "5"; allowed: an amount of memory`},
		"memory overflows":        {`"data-folder"`, `"limits": {"body": "9999999999TiB"}, "data-folder"`, `4:22: limits.body can't be "9999999999TiB"; allowed: an amount of memory`},
		"team queue above queue":  {`"data-folder"`, `"limits": {"queue-per-team": 4000}, "data-folder"`, "4:32: limits.queue-per-team can't be 4000; allowed: a whole number from 1 to the value of queue"},
		"fraction":                {`"data-folder"`, `"limits": {"queue": 1.5}, "data-folder"`, "4:23: limits.queue can't be 1.5; allowed: a whole number"},
		"host name as address":    {`"http-address": "127.0.0.1:8080"`, `"http-address": "localhost:8080"`, `3:19: http-address can't be "localhost:8080"; allowed: an IP address and port`},
		"log level":               {`"data-folder"`, `"log": {"level": "loud"}, "data-folder"`, `4:20: log.level can't be "loud"; allowed: debug, info, warn or error`},
		"otlp without endpoint":   {`"data-folder"`, `"trace": {"exporter": "otlp"}, "data-folder"`, "4:12: trace.endpoint is missing; allowed: an http or https URL"},
		"certificate without key": {`"data-folder"`, `"tls": {"http": {"certificate": "c.pem"}}, "data-folder"`, "4:19: tls.http.key is missing; allowed: the path of a PEM file"},
		"peers without authority": {`"data-folder"`, `"tls": {"peers": {"certificate": "c", "key": "k"}}, "data-folder"`, "4:20: tls.peers.ca is missing"},
		"even number of voters":   {`["e-1"]`, `["e-1", "e-2"]`, "5:13: voters are 2 in number; allowed: 1, 3 or 5"},
		"voter unknown":           {`["e-1"]`, `["e-2"]`, `5:14: voters has "e-2", which is not listed in peers`},
		"voter without disk":      {`"data-folder": "data",`, ``, "1:1: data-folder is missing although the host is a voter"},
		"not among its peers":     {`"name": "e-1", "region"`, `"name": "e-2", "region"`, `2:11: name "e-2" is not listed in peers`},
		"other peer address":      {`"peer-address": "127.0.0.1:7080",` + "\n", `"peer-address": "127.0.0.1:7081",` + "\n", `3:53: peer-address differs from the one in peers; allowed: "127.0.0.1:7080"`},
		"one address for both":    {`127.0.0.1:8080`, `127.0.0.1:7080`, "3:19: http-address is the same as peer-address"},
		"peer twice":              {`"data-centre": "a"}]`, `"data-centre": "a"}, {"name": "e-1", "peer-address": "127.0.0.1:7081", "data-centre": "a"}]`, "6:12: peers has the same entry twice"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, tt[0], tt[1], 1)
			_, problems := loader.ParseSettings("s.jsonc", []byte(text))
			wantProblem(t, problems, "s.jsonc:"+tt[2])
		})
	}
}

// Settings must be refused if the loss of one data centre would take the majority
// of the voters.
func TestVoterMajorityInOneDataCentre(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		`["e-1"]`, `["e-1", "e-2", "e-3"]`,
		`"data-centre": "a"}]`, `"data-centre": "a"},
		{"name": "e-2", "peer-address": "127.0.0.1:7081", "data-centre": "b"},
		{"name": "e-3", "peer-address": "127.0.0.1:7082", "data-centre": "a"}]`,
	).Replace(validSettings)
	_, problems := loader.ParseSettings("s.jsonc", []byte(text))
	is.Equal(problems.String(), `s.jsonc:5:28: voters has its majority in data centre "a"; allowed: a minority in each data centre`)
}

// All problems of a file must be reported, not only the first one.
func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	_, problems := loader.ParseSettings("s.jsonc", []byte("{\n\"name\": 1,\n\"foo\": 2,\n\"region\": \"R\"}"))
	var lines []int
	for _, p := range problems {
		lines = append(lines, p.Line)
	}
	is.Equal(lines, []int{1, 1, 1, 1, 1, 2, 3, 4}) // five members are missing
	is.True(problems.Err() != nil)
}

// Each invalid deployment file must be refused when it is read, because the first
// leader would reject it only later, when it bootstraps the control state.
func TestDeploymentRefusals(t *testing.T) {
	// Each case is a text of the valid file, its replacement and the problem.
	tests := map[string][3]string{
		"pool of a queue":      {`"pool": "p"`, `"pool": "x"`, `4:53: queues[0].pool names pool "x", which the file doesn't define`},
		"queue of a team":      {`"queues": ["q"]`, `"queues": ["x"]`, `5:102: contracts[0].teams[0].queues[0] names queue "x"`},
		"home region":          {`"home-region": "r"`, `"home-region": "x"`, `5:50: contracts[0].home-region names region "x"`},
		"pool of a host":       {`"pools": ["p"]`, `"pools": ["x"]`, `6:91: hosts[0].pools[0] names pool "x"`},
		"data centre":          {`"data-centre": "a"`, `"data-centre": "x"`, `6:48: hosts[0].data-centre names data centre "x"`},
		"host in two ranges":   {`"hosts": [`, `"hosts": [{"name": "h-2", "data-centre": "a", "rack": "k", "pools": ["p"]}, `, `host "h-2" is listed twice; allowed: each host once`},
		"range too long":       {`h-[1-3]`, `h-[1-99999]`, `6:22: hosts[0].name can't be "h-[1-99999]"; allowed: a name, or a range`},
		"range backwards":      {`h-[1-3]`, `h-[3-1]`, `6:22: hosts[0].name can't be "h-[3-1]"`},
		"budget of 0":          {`"availability-budget": 1`, `"availability-budget": 0`, `3:50: pools[0].availability-budget can't be 0; allowed: a number of hosts from 1`},
		"max below min":        {`"max-hosts": 9`, `"min-hosts": 9, "max-hosts": 8`, `pools[0].max-hosts can't be 8; allowed: a number of hosts from min-hosts`},
		"policy":               {`"favour": "cost"`, `"favour": "both"`, `pools[0].favour can't be "both"; allowed: shares or cost`},
		"rate without unit":    {`"share": 1`, `"share": 1, "request-rate": 5`, `contracts[0].teams[0].request-rate can't be 5; allowed: a rate from "0/s"`},
		"share of 0":           {`"share": 1`, `"share": 0`, `contracts[0].teams[0].share can't be 0`},
		"submitter has a team": {`"role": "operator"`, `"role": "submitter"`, `keys[0].team is missing; allowed: the name of a team`},
		"operator has none":    {`"role": "operator"`, `"role": "operator", "team": "t"`, `keys[0].team can't be "t"`},
		"short hash":           {`aa9c`, ``, `keys[0].sha256 can't be "8787`},
		"second spare pool":    {`"pools": [{`, `"pools": [{"name": "s", "availability-budget": 1, "max-hosts": 1, "favour": "cost", "spare": true}, {"spare": true, `, `pools has a second spare pool; allowed: one`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDeployment, tt[0], tt[1], 1)
			_, problems := loader.ParseDeployment("d.jsonc", []byte(text))
			wantProblem(t, problems, tt[2])
		})
	}
}
