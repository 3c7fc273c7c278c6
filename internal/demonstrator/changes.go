package demonstrator

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"
)

// zoneChange is what taking a data centre out and back looked like.
type zoneChange struct {
	name string
	// outForce is when the change was promised to be in force everywhere.
	outAsked, outForce time.Time
	inAsked, inForce   time.Time
}

// changeZone takes the last data centre out at a tenth of the run and back
// after the change was in force for a fifth of it.
func (s *scenario) changeZone(ctx context.Context, length time.Duration) (zoneChange, error) {
	z := zoneChange{
		name: s.deployment.DataCentres[len(s.deployment.DataCentres)-1].Name,
	}
	sleep(ctx, length/10)
	z.outAsked = time.Now()
	var err error
	if z.outForce, err = s.operators.setZone(ctx, z.name, "out"); err != nil {
		return z, err
	}
	sleep(ctx, time.Until(z.outForce)+length/5)
	z.inAsked = time.Now()
	z.inForce, err = s.operators.setZone(ctx, z.name, "in")
	return z, err
}

// keyChange is what the withdrawal of a key looked like.
type keyChange struct {
	team         string
	asked, force time.Time
	// lastUse is the start of the last request that was answered with the key.
	lastUse time.Time
	// refused tells that the key was refused in the end.
	refused bool
}

// probeInterval is the time between two requests with a withdrawn key.
const probeInterval = 20 * time.Millisecond

// withdrawKey withdraws the key of a team while it is used on every entry host.
func (s *scenario) withdrawKey(ctx context.Context) (keyChange, error) {
	last := s.deployment.Contracts[len(s.deployment.Contracts)-1].Teams
	k := keyChange{
		team: last[len(last)-1].Name,
	}
	queue := s.closedQueueOf(k.team)
	var err error
	k.asked = time.Now()
	if k.force, err = s.operators.withdrawKey(ctx, k.team); err != nil {
		return k, err
	}
	client := resty.New().SetTimeout(callerTimeout)
	defer client.GetClient().CloseIdleConnections()
	until := k.force.Add(300 * time.Millisecond)
	for i := 0; time.Now().Before(until); i++ {
		start := time.Now()
		response, err := client.R().SetAuthToken(s.keys[k.team]).Get(s.fleet.hosts[i%len(s.fleet.hosts)].url + "/q/" + queue + "/")
		switch {
		case err != nil:
		case response.IsSuccess():
			k.lastUse = start
			k.refused = false
		default:
			k.refused = true
		}
		sleep(ctx, probeInterval)
	}
	return k, nil
}

// closedQueueOf returns a queue of requests that the team needs its key for.
func (s *scenario) closedQueueOf(team string) string {
	open := make(map[string]bool)
	for _, q := range s.deployment.Queues {
		open[q.Name] = q.Open || q.Kind != "requests"
	}
	for _, c := range s.deployment.Contracts {
		for _, t := range c.Teams {
			for _, q := range t.Queues {
				if t.Name == team && !open[q] {
					return q
				}
			}
		}
	}
	return ""
}
