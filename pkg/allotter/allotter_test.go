package allotter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/allotter"
)

func cores(n int64) allotter.Vector {
	return allotter.Vector{
		MilliCores: n,
	}
}

var policy = allotter.ByDemand{
	EqualPart: 4,
	Slack:     16,
}

// cell is a holder as it really is: what it runs and which target it has seen.
type cell struct {
	amount, target int64
	seen           int64
	running        int64
	wanted         int64
}

func (c *cell) holder(name string, confirmed bool) allotter.Holder {
	return allotter.Holder{
		Name:      name,
		Amount:    cores(c.amount),
		Target:    cores(c.target),
		Use:       cores(c.running),
		Demand:    cores(c.wanted),
		Confirmed: confirmed,
		Open:      true,
	}
}

// upper-limit: whatever order messages arrive in, all holders together must
// never run more than the limit.
func TestRunningNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		cells := []*cell{
			{},
			{},
			{},
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			c := cells[rapid.IntRange(0, 2).Draw(t, "cell")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				c.wanted = rapid.Int64Range(0, 2000).Draw(t, "wanted")
			case 1:
				// The holder hears of its target and starts what fits.
				c.seen = c.target
				c.running = max(c.running, min(c.wanted, c.seen))
			case 2:
				c.running = rapid.Int64Range(0, c.running).Draw(t, "left running")
			case 3:
				holders := make([]allotter.Holder, len(cells))
				for i, c := range cells {
					// A report counts as confirmed only with the present target.
					heard := rapid.Bool().Draw(t, "heard") && c.seen == c.target
					holders[i] = c.holder(fmt.Sprint(i), heard)
				}
				for _, m := range allotter.Allot(cores(limit), holders, policy) {
					var i int
					_, _ = fmt.Sscan(m.Name, &i)
					cells[i].amount, cells[i].target = m.Amount.MilliCores, m.Target.MilliCores
				}
			}
			var amounts, running int64
			for _, c := range cells {
				amounts += c.amount
				running += c.running
				if c.target > c.amount {
					t.Fatalf("target %d above amount %d", c.target, c.amount)
				}
			}
			if amounts > limit || running > limit {
				t.Fatalf("amounts add up to %d, running to %d, limit %d", amounts, running, limit)
			}
		}
	})
}

// settle lets all holders confirm until nothing changes.
func settle(limit int64, holders []allotter.Holder) int {
	rounds := 0
	for ; rounds < 20; rounds++ {
		moves := allotter.Allot(cores(limit), holders, policy)
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			for i := range holders {
				if holders[i].Name == m.Name {
					holders[i].Amount, holders[i].Target = m.Amount, m.Target
					holders[i].Use = holders[i].Use.Min(m.Target)
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
		"no demand is divided equally": {
			holders: []allotter.Holder{
				(&cell{}).holder("a", true),
				(&cell{}).holder("b", true),
			},
			want: []int64{500, 500},
		},
		"demand of one holder moves most of the limit": {
			holders: []allotter.Holder{
				(&cell{
					amount: 500,
					target: 500,
				}).holder("a", true),
				(&cell{
					amount: 500,
					target: 500,
					wanted: 900,
				}).holder("b", true),
			},
			want: []int64{125, 875},
		},
		"a holder that was not heard keeps its amount": {
			holders: []allotter.Holder{
				(&cell{
					amount: 500,
					target: 500,
				}).holder("a", false),
				(&cell{
					amount: 500,
					target: 500,
					wanted: 900,
				}).holder("b", true),
			},
			want: []int64{500, 500},
		},
		"a lost holder gives everything back": {
			holders: []allotter.Holder{
				{
					Name:   "a",
					Amount: cores(500),
					Lost:   true,
				},
				(&cell{
					amount: 500,
					target: 500,
					wanted: 900,
				}).holder("b", true),
			},
			want: []int64{0, 1000},
		},
		"a lowered limit shrinks what is above it": {
			holders: []allotter.Holder{
				(&cell{
					amount:  3000,
					target:  3000,
					running: 2000,
					wanted:  2000,
				}).holder("a", true),
				(&cell{
					amount: 500,
					target: 500,
				}).holder("b", true),
			},
			want: []int64{875, 125},
		},
		"small differences change nothing": {
			holders: []allotter.Holder{
				(&cell{
					amount: 480,
					target: 480,
					wanted: 100,
				}).holder("a", true),
				(&cell{
					amount: 520,
					target: 520,
					wanted: 101,
				}).holder("b", true),
			},
			want: []int64{480, 520},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(settle(1000, test.holders) < 20)
			for i, h := range test.holders {
				is.Equal(h.Amount.MilliCores, test.want[i])
			}
		})
	}
}
