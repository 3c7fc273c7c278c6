package operator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// UnavailableHost is a host that is not active and takes no new work.
type UnavailableHost struct {
	Host
	// Wave is the roll-out for which the host has a maintenance grant; 0 if it has
	// none.
	Wave uint64 `json:"wave,omitempty"`
	// GrantedAt is the time of that grant.
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
