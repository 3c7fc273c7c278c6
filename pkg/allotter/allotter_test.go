package allotter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/allotter"
)

func milliCores(n int64) allotter.Vector {
	return allotter.Vector{
		MilliCores: n,
	}
}

var policy = allotter.ByDemand{
	EqualPartDivisor: 4,
	SlackDivisor:     16,
}

// fakeHolder is the actual state of a holder: what it runs and the latest target
// that it has received.
type fakeHolder struct {
	amount, target int64
	seenTarget     int64
	running        int64
	demand         int64
}

func (c *fakeHolder) holder(name string, confirmed bool) allotter.Holder {
	return allotter.Holder{
		Name:      name,
		Amount:    milliCores(c.amount),
		Target:    milliCores(c.target),
		Use:       milliCores(c.running),
		Demand:    milliCores(c.demand),
		Confirmed: confirmed,
		MayGrow:   true,
	}
}

// Invariant upper-limit: whatever the order in which messages arrive, all
// holders together must never run more than the limit.
func TestRunningNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		fakes := []*fakeHolder{
			{},
			{},
			{},
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			fake := fakes[rapid.IntRange(0, 2).Draw(t, "holder")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				fake.demand = rapid.Int64Range(0, 2000).Draw(t, "demand")
			case 1:
				// The holder receives its target and starts the work that fits.
				fake.seenTarget = fake.target
				fake.running = max(fake.running, min(fake.demand, fake.seenTarget))
			case 2:
				fake.running = rapid.Int64Range(0, fake.running).Draw(t, "still running")
			case 3:
				holders := make([]allotter.Holder, len(fakes))
				for i, fake := range fakes {
					// A report confirms only if the holder has received the present target.
					confirmed := rapid.Bool().Draw(t, "confirmed") && fake.seenTarget == fake.target
					holders[i] = fake.holder(fmt.Sprint(i), confirmed)
				}
				for _, change := range allotter.Allot(milliCores(limit), holders, policy) {
					var i int
					_, _ = fmt.Sscan(change.Name, &i)
					fakes[i].amount, fakes[i].target = change.Amount.MilliCores, change.Target.MilliCores
				}
			}
			var amounts, running int64
			for _, fake := range fakes {
				amounts += fake.amount
				running += fake.running
				if fake.target > fake.amount {
					t.Fatalf("holder has target %d, which exceeds its amount %d", fake.target, fake.amount)
				}
			}
			if amounts > limit || running > limit {
				t.Fatalf("sum of amounts %d or of running work %d exceeds the limit %d", amounts, running, limit)
			}
		}
	})
}

// allotUntilStable repeats Allot, with all holders following their targets, until
// nothing changes. It returns the number of rounds with changes, at most 20.
func allotUntilStable(limit int64, holders []allotter.Holder) int {
	rounds := 0
	for ; rounds < 20; rounds++ {
		changes := allotter.Allot(milliCores(limit), holders, policy)
		if len(changes) == 0 {
			break
		}
		for _, change := range changes {
			for i := range holders {
				if holders[i].Name == change.Name {
					holders[i].Amount, holders[i].Target = change.Amount, change.Target
					holders[i].Use = holders[i].Use.Min(change.Target)
				}
			}
		}
	}
	return rounds
}

func TestAllot(t *testing.T) {
	tests := map[string]struct {
		holders []allotter.Holder
		want    []int64
	}{
		"without demand the limit is divided equally": {
			holders: []allotter.Holder{
				(&fakeHolder{}).holder("a", true),
				(&fakeHolder{}).holder("b", true),
			},
			want: []int64{500, 500},
		},
		"demand of one holder gives it most of the limit": {
			holders: []allotter.Holder{
				(&fakeHolder{
					amount: 500,
					target: 500,
				}).holder("a", true),
				(&fakeHolder{
					amount: 500,
					target: 500,
					demand: 900,
				}).holder("b", true),
			},
			want: []int64{125, 875},
		},
		"a holder that has not confirmed keeps its amount": {
			holders: []allotter.Holder{
				(&fakeHolder{
					amount: 500,
					target: 500,
				}).holder("a", false),
				(&fakeHolder{
					amount: 500,
					target: 500,
					demand: 900,
				}).holder("b", true),
			},
			want: []int64{500, 500},
		},
		"the amount of a lost holder goes to the others": {
			holders: []allotter.Holder{
				{
					Name:        "a",
					Amount:      milliCores(500),
					Reclaimable: true,
				},
				(&fakeHolder{
					amount: 500,
					target: 500,
					demand: 900,
				}).holder("b", true),
			},
			want: []int64{0, 1000},
		},
		"a lowered limit reduces amounts above it": {
			holders: []allotter.Holder{
				(&fakeHolder{
					amount:  3000,
					target:  3000,
					running: 2000,
					demand:  2000,
				}).holder("a", true),
				(&fakeHolder{
					amount: 500,
					target: 500,
				}).holder("b", true),
			},
			want: []int64{875, 125},
		},
		"small differences change nothing": {
			holders: []allotter.Holder{
				(&fakeHolder{
					amount: 480,
					target: 480,
					demand: 100,
				}).holder("a", true),
				(&fakeHolder{
					amount: 520,
					target: 520,
					demand: 101,
				}).holder("b", true),
			},
			want: []int64{480, 520},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(allotUntilStable(1000, test.holders) < 20)
			for i, h := range test.holders {
				is.Equal(h.Amount.MilliCores, test.want[i])
			}
		})
	}
}
