package demonstrator

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"
)

// zoneChange records when a data centre was taken out of service and back.
type zoneChange struct {
	name string
	// outEffective and inEffective are the times from which, by the response, the
	// change is in force on all entry hosts.
	outRequested, outEffective time.Time
	inRequested, inEffective   time.Time
}

// changeZone takes the last data centre out of service after a tenth of the run,
// and back once the change has been in force for a fifth of the run.
func (s *scenario) changeZone(ctx context.Context, length time.Duration) (zoneChange, error) {
	z := zoneChange{
		name: s.deployment.DataCentres[len(s.deployment.DataCentres)-1].Name,
	}
	sleep(ctx, length/10)
	z.outRequested = time.Now()
	var err error
	if z.outEffective, err = s.operators.setZone(ctx, z.name, "out"); err != nil {
		return z, err
	}
	sleep(ctx, time.Until(z.outEffective)+length/5)
	z.inRequested = time.Now()
	z.inEffective, err = s.operators.setZone(ctx, z.name, "in")
	return z, err
}

// keyChange records the withdrawal of a team's key.
type keyChange struct {
	team                 string
	requested, effective time.Time
	// lastAccepted is the start of the last request that succeeded with the key.
	lastAccepted time.Time
	// refused reports whether the last answered request was refused.
	refused bool
}

// probeInterval is the time between two requests with a withdrawn key.
const probeInterval = 20 * time.Millisecond

// withdrawKey withdraws the key of the last team, and sends requests with it to
// every entry host in turn until 300 ms after the withdrawal is in force.
func (s *scenario) withdrawKey(ctx context.Context) (keyChange, error) {
	teams := s.deployment.Contracts[len(s.deployment.Contracts)-1].Teams
	k := keyChange{
		team: teams[len(teams)-1].Name,
	}
	queue := s.keyRequiredQueue(k.team)
	var err error
	k.requested = time.Now()
	if k.effective, err = s.operators.withdrawKey(ctx, k.team); err != nil {
		return k, err
	}
	client := resty.New().SetTimeout(callerTimeout)
	defer client.GetClient().CloseIdleConnections()
	until := k.effective.Add(300 * time.Millisecond)
	for i := 0; time.Now().Before(until); i++ {
		start := time.Now()
		response, err := client.R().SetAuthToken(s.keys[k.team]).Get(s.fleet.hosts[i%len(s.fleet.hosts)].url + "/q/" + queue + "/")
		switch {
		case err != nil:
		case response.IsSuccess():
			k.lastAccepted = start
			k.refused = false
		default:
			k.refused = true
		}
		sleep(ctx, probeInterval)
	}
	return k, nil
}

// keyRequiredQueue returns a queue of requests of the team that is not open, so
// that its requests need a key.
func (s *scenario) keyRequiredQueue(team string) string {
	excluded := make(map[string]bool)
	for _, q := range s.deployment.Queues {
		excluded[q.Name] = q.Open || q.Kind != "requests"
	}
	for _, c := range s.deployment.Contracts {
		for _, t := range c.Teams {
			for _, q := range t.Queues {
				if t.Name == team && !excluded[q] {
					return q
				}
			}
		}
	}
	return ""
}
