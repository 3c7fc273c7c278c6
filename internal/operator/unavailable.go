package operator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// UnavailableHost is a host that takes no new work.
type UnavailableHost struct {
	Host
	// Wave is the maintenance that the host has a grant for; 0 without one.
	Wave uint64 `json:"wave,omitempty"`
	// GrantedAt is when that grant was given.
	GrantedAt *time.Time `json:"granted-at,omitempty"`
}

func unavailableHostsOf(state controller.State) []UnavailableHost {
	hosts := make([]UnavailableHost, 0)
	for _, h := range state.Hosts() {
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE {
			continue
		}
		grant, _ := state.Grant(h.GetName())
		hosts = append(hosts, UnavailableHost{
			Host:      hostOf(h),
			Wave:      grant.GetWave(),
			GrantedAt: timeOf(grant.GetGrantedAtUnixNanos()),
		})
	}
	return hosts
}
