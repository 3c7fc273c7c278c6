// Command examples serves the items of two accounts at a ratio of 3 to 1.
package main

import (
	"fmt"

	"github.com/heathermux/heathermux/pkg/queuer"
)

func main() {
	q := queuer.New[string](queuer.Options{
		MaxPerAccount: 100,
	})
	for i := range 8 {
		q.Push(queuer.Entry[string]{
			Account: "credits",
			Weight:  3,
			Value:   fmt.Sprint("credit ", i),
		})
		q.Push(queuer.Entry[string]{
			Account: "reports",
			Weight:  1,
			Value:   fmt.Sprint("report ", i),
		})
	}
	for range 8 {
		next, _ := q.Pop()
		fmt.Println(next.Value)
	}
}
