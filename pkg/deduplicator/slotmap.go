package deduplicator

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of slots to which keys are hashed. With 110 entry hosts
// each of them still owns at least two slots on average, and a whole slot fits into
// one message at 100,000 entries.
const SlotCount = 256

// SlotOf returns the slot of a key, from 0 to SlotCount-1.
func SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % SlotCount)
}

// Host is one process that holds slots. Hosts are the same only if all fields are
// equal: a restarted process has a new incarnation and an empty table.
type Host struct {
	// Name identifies the machine.
	Name string
	// Incarnation changes with each start of the process.
	Incarnation string
	// DataCentre is the failure domain of the machine.
	DataCentre string
}

// Holders are the hosts that hold one slot.
type Holders struct {
	// Owner decides on the keys of the slot; the zero Host when the view is empty.
	Owner Host
	// Copy holds a copy of the slot; the zero Host when the view has fewer
	// than two hosts.
	Copy Host
}

// HasCopy reports whether a second host holds the slot.
func (h Holders) HasCopy() bool {
	return h.Copy != Host{}
}

// List returns the holders that exist, the owner first.
func (h Holders) List() []Host {
	switch {
	case h.Owner == Host{}:
		return nil
	case !h.HasCopy():
		return []Host{h.Owner}
	}
	return []Host{h.Owner, h.Copy}
}

// SlotMap assigns the slots to their holders under one view. It is immutable.
type SlotMap struct {
	epoch   uint64
	hosts   []Host
	holders [SlotCount]Holders
}

// NewSlotMap assigns the slots by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998). The weights depend only on the
// names, so that a restarted host gets its former slots back. The copy holder is
// the host with the highest weight outside the owner's data centre, or the host with
// the second highest weight when there is only one data centre.
func NewSlotMap(epoch uint64, hosts []Host) *SlotMap {
	m := &SlotMap{
		epoch: epoch,
		hosts: slices.Clone(hosts),
	}
	for slot := range m.holders {
		m.holders[slot] = assignHolders(slot, m.hosts)
	}
	return m
}

// Epoch returns the number of the view.
func (m *SlotMap) Epoch() uint64 {
	return m.epoch
}

// Empty reports whether the view has no hosts.
func (m *SlotMap) Empty() bool {
	return len(m.hosts) == 0
}

// Has reports whether the view contains the host with this incarnation.
func (m *SlotMap) Has(h Host) bool {
	return slices.Contains(m.hosts, h)
}

// Holders returns the holders of a slot.
func (m *SlotMap) Holders(slot int) Holders {
	return m.holders[slot]
}

func assignHolders(slot int, hosts []Host) Holders {
	var holders Holders
	holders.Owner = heaviest(slot, hosts, func(Host) bool {
		return true
	})
	holders.Copy = heaviest(slot, hosts, func(h Host) bool {
		return h.DataCentre != holders.Owner.DataCentre
	})
	if !holders.HasCopy() {
		holders.Copy = heaviest(slot, hosts, func(h Host) bool {
			return h.Name != holders.Owner.Name
		})
	}
	return holders
}

func heaviest(slot int, hosts []Host, allowed func(Host) bool) Host {
	var best Host
	var bestWeight uint64
	for _, h := range hosts {
		if !allowed(h) {
			continue
		}
		w := weight(slot, h.Name)
		if best.Name == "" || w > bestWeight || (w == bestWeight && h.Name < best.Name) {
			best, bestWeight = h, w
		}
	}
	return best
}

func weight(slot int, name string) uint64 {
	data := binary.BigEndian.AppendUint16(make([]byte, 0, len(name)+2), uint16(slot))
	return xxhash.Sum64(append(data, name...))
}
