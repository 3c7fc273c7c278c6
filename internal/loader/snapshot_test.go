package loader_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/examples"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
)

func bootstrap(t *testing.T, dep loader.Deployment) controller.State {
	t.Helper()
	state, result := controller.Apply(controller.State{}, &wire.Command{
		OperationId: "bootstrap",
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: dep.Snapshot(),
			},
		},
	})
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		t.Fatal(result.GetReason())
	}
	return state
}

// The control state must accept the example deployments, and in them no two hosts
// of a pool may share a rack.
func TestExamplesBootstrap(t *testing.T) {
	for _, name := range []string{"qhapaq", "khomas"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path, data, ok := examples.Deployment(name)
			is.True(ok)
			dep, problems := loader.ParseDeployment(path, data)
			is.NoErr(problems.Err())
			state := bootstrap(t, dep)
			is.Equal(len(state.Hosts()), 50)
			is.Equal(len(state.Teams()), 6)
			racks := make(map[string]int)
			for _, h := range state.Hosts() {
				racks[h.GetRack()]++
				racks[h.GetRack()+"/"+h.GetPool()]++
				is.True(racks[h.GetRack()] <= 4)                // four hosts to a rack
				is.Equal(racks[h.GetRack()+"/"+h.GetPool()], 1) // one host of a pool in a rack
			}
		})
	}
}

// Quantities in a contract must stay the same when it is converted to the form of
// the control state and back.
func TestContractKeepsItsUnits(t *testing.T) {
	is := is.New(t)
	file, problems := loader.ParseContract("c.jsonc", []byte(`{"revision": 7, "contract": {"customer": "c", "teams": [
		{"name": "t", "share": 2, "request-rate": "30/s", "request-concurrency": 4, "queues": ["q"],
		 "limit": {"processors": "1500 millicores", "memory": "3MiB", "accelerators": 2}}]}}`))
	is.NoErr(problems.Err())
	team := file.Contract.Wire().GetTeams()[0]
	is.Equal(team.GetLimit().GetMilliCores(), int64(1500))
	is.Equal(team.GetLimit().GetMemoryBytes(), int64(3<<20))
	is.Equal(team.GetLimit().GetAccelerators(), int64(2))
	is.Equal(team.GetRequestRate(), int64(30))
	is.Equal(loader.ContractOf(file.Contract.Wire()), file.Contract)
	is.NoErr(loader.CheckContract(file.Contract))
	file.Contract.Teams[0].Share = 0
	is.True(loader.CheckContract(file.Contract) != nil) // a share of 0 is refused
}

// A range must be expanded to the right host names and racks.
func TestHostRanges(t *testing.T) {
	tests := map[string]struct {
		hosts loader.HostRange
		names []string
		racks []string
	}{
		"single": {
			hosts: loader.HostRange{
				Name:  "h",
				Rack:  "k",
				Pools: []string{"p"},
			},
			names: []string{"h"},
			racks: []string{"k"},
		},
		"racks of two": {
			hosts: loader.HostRange{
				Name:    "h-[9-11]",
				Rack:    "k",
				PerRack: 2,
				Pools:   []string{"p"},
			},
			names: []string{"h-9", "h-10", "h-11"},
			racks: []string{"k1", "k1", "k2"},
		},
		"padded": {
			hosts: loader.HostRange{
				Name:  "h[08-10]x",
				Rack:  "k",
				Pools: []string{"p"},
			},
			names: []string{"h08x", "h09x", "h10x"},
			racks: []string{"k", "k", "k"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var names, racks []string
			dep := loader.Deployment{
				Hosts: []loader.HostRange{tt.hosts},
			}
			for _, h := range dep.Snapshot().GetHosts() {
				names = append(names, h.GetName())
				racks = append(racks, h.GetRack())
			}
			is.Equal(names, tt.names)
			is.Equal(racks, tt.racks)
		})
	}
}

// A quantity must be formatted as it was parsed, and a malformed one refused.
func TestUnits(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"0B", "1KiB", "1025B", "64GiB", "3TiB"} {
		n, err := loader.ParseBytes(text)
		is.NoErr(err)
		is.Equal(n.String(), text)
	}
	for _, text := range []string{"0 cores", "16 cores", "1500 millicores"} {
		n, err := loader.ParseMilliCores(text)
		is.NoErr(err)
		is.Equal(n.String(), text)
	}
	for _, text := range []string{"", "B", "-1B", "+1B", "1 GB", "1.5GiB", "8388608TiB", "9223372036854775808B"} {
		_, err := loader.ParseBytes(text)
		is.True(err != nil) // not an amount of memory
	}
	_, err := loader.ParseRate("5")
	is.True(err != nil) // a rate has a unit
}

// The settings page must show the same defaults and allowed values as the code.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	for _, d := range loader.Describe() {
		row := fmt.Sprintf("| `%s` | %s | %s |", d.Path, d.Default, d.Allowed)
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks %s", row)
		}
	}
}
