package operator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// entryHostsOf returns the members of the current view. An entry host knows its
// own revision and lease; only the leader knows those of the others.
func entryHostsOf(state controller.State, local LocalStatus, leaseLeft time.Duration) []EntryHost {
	known := make(map[string]Follower, len(local.Followers))
	for _, f := range local.Followers {
		known[f.Name+"/"+f.Incarnation] = f
	}
	hosts := make([]EntryHost, 0)
	for _, m := range state.View().GetMembers() {
		host := EntryHost{
			Name:        m.GetName(),
			DataCentre:  m.GetDataCentre(),
			PeerAddress: m.GetPeerAddress(),
			Leader:      m.GetName() == local.Leader,
		}
		if f, ok := known[m.GetName()+"/"+m.GetIncarnation()]; ok {
			host = host.withRevisionAndLease(f.Revision, f.LeaseLeft)
		}
		if m.GetName() == local.EntryHost {
			host = host.withRevisionAndLease(state.Revision(), leaseLeft)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (h EntryHost) withRevisionAndLease(revision uint64, leaseLeft time.Duration) EntryHost {
	h.Revision = &revision
	h.LeaseLeft = max(0, leaseLeft).String()
	return h
}
