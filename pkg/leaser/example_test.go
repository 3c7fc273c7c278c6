package leaser_test

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/pkg/leaser"
)

// A lamp controller accepts commands from one switching station at a time. Once
// the lease has passed to another station, it rejects commands of the former one.
func Example() {
	start := time.Unix(0, 0)
	var table leaser.Table[string]
	var lamp leaser.Guard

	first, _ := table.Grant(start, "feed-7", "station-a", 2*time.Second)
	_, err := table.Grant(start.Add(time.Second), "feed-7", "station-b", 2*time.Second)
	fmt.Println(err)

	second, _ := table.Grant(start.Add(3*time.Second), "feed-7", "station-b", 2*time.Second)
	fmt.Println(lamp.Admit(second.Epoch), lamp.Admit(first.Epoch))
	// Output:
	// leaser: another holder has a live lease
	// true false
}
