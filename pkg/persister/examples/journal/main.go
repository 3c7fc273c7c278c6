// Command journal stores three entries and a snapshot, opens the store again and
// prints its content.
package main

import (
	"fmt"
	"log"
	"os"

	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/replication"
)

func main() {
	dir, err := os.MkdirTemp("", "journal")
	if err != nil {
		log.Fatal(err)
	}
	err = run(dir)
	_ = os.RemoveAll(dir)
	if err != nil {
		log.Fatal(err)
	}
}

func run(dir string) error {
	if err := write(dir); err != nil {
		return err
	}
	store, recovered, err := persister.Open(persister.OSFS(), dir, persister.Options{})
	if err != nil {
		return err
	}
	fmt.Printf("snapshot %d: %s\n", recovered.Snapshot.GetIndex(), recovered.Snapshot.GetData())
	for _, e := range recovered.Entries {
		fmt.Printf("entry %d of term %d: %s\n", e.GetIndex(), e.GetTerm(), e.GetData())
	}
	return store.Close()
}

func write(dir string) error {
	store, _, err := persister.Open(persister.OSFS(), dir, persister.Options{})
	if err != nil {
		return err
	}
	var entries []*replication.Entry
	for i := range uint64(3) {
		entries = append(entries, &replication.Entry{
			Term:  1,
			Index: i + 1,
			Data:  fmt.Append(nil, "change ", i+1),
		})
	}
	hard := &replication.HardState{
		Term: 1,
	}
	if err := store.Append(hard, entries); err != nil {
		return err
	}
	err = store.SaveSnapshot(&replication.Snapshot{
		Index: 2,
		Term:  1,
		Data:  []byte("state after two changes"),
	})
	if err != nil {
		return err
	}
	if err := store.Compact(2); err != nil {
		return err
	}
	return store.Close()
}
