package measurer

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/allocator"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	roleFollower = "follower and ingress"

	followMethod = "Control.Follow"
)

// followRate is the number of follow calls a second of one entry host.
var followRate = 1 / follower.Interval.Seconds()

func followProbes() []probe {
	return []probe{
		{
			role:  roleFollower,
			name:  "follow call with demand for every team",
			axis:  "teams",
			sizes: []int{10, 35, 71, 142},
			metrics: append(followMetrics(targetTeams), metric{
				name:   "processor time on the leader for 22 entry hosts",
				value:  2,
				unit:   cpuTime,
				target: targetTeams,
				rate:   followRate * targetEntryHosts,
				bound:  boundCore,
			}),
			measure: func(_ context.Context, n int) ([]float64, error) {
				s := targetShape()
				s.hosts = 100
				s.teams = n
				return newFollowing(s, nil).measure(), nil
			},
		},
		{
			role:    roleScheduler,
			name:    "follow call with the report, tasks on every host",
			axis:    "hosts",
			sizes:   []int{50, 200, 600, 1200},
			metrics: followMetrics(hostsHere),
			measure: func(_ context.Context, n int) ([]float64, error) {
				return newFollowing(here(n), newSite(here(n), tasksOfWorker)).measure(), nil
			},
		},
	}
}

func followMetrics(target float64) []metric {
	return []metric{
		{
			name:   "bytes",
			unit:   traffic,
			target: target,
			rate:   followRate,
			bound:  boundTraffic,
		},
		{
			name:   "processor time of the caller",
			value:  1,
			unit:   cpuTime,
			target: target,
			rate:   followRate,
			bound:  boundCore,
		},
	}
}

// following is one entry host, without a scheduler or with that of a site, and
// what the leader does to answer it.
type following struct {
	shape shape
	state controller.State
	site  *site
	held  map[string]*wire.RequestAllotment
	grant *allocator.Allocator
	now   time.Time
	host  int
}

func newFollowing(s shape, t *site) *following {
	f := &following{
		shape: s,
		state: s.state(),
		site:  t,
		held:  make(map[string]*wire.RequestAllotment),
		grant: allocator.New(),
		now:   start,
	}
	// All entry hosts of the view hold parts before the calls are measured.
	for range 20 * s.entryHosts {
		f.call()
	}
	return f
}

// call is one follow call of one entry host after the other.
func (f *following) call() (*wire.FollowRequest, *wire.FollowResponse) {
	request := f.request()
	return request, f.answer(request)
}

// request fills in what internal/daemon and internal/follower do.
func (f *following) request() *wire.FollowRequest {
	f.now = f.now.Add(follower.Interval / time.Duration(f.shape.entryHosts))
	f.host = (f.host + 1) % f.shape.entryHosts
	r := &wire.FollowRequest{
		Member:   f.shape.member(f.host),
		Revision: f.state.Revision(),
	}
	for _, ref := range f.state.Teams() {
		name := ref.Team.GetName()
		r.Demands = append(r.Demands, &wire.TeamDemand{
			Team:            name,
			HeldRate:        f.held[r.GetMember().GetName()+name].GetRate(),
			HeldConcurrency: f.held[r.GetMember().GetName()+name].GetConcurrency(),
		})
	}
	if f.site != nil {
		r.Report = f.report()
	}
	return r
}

// report lets every worker poll once, which changes the use of its tasks.
func (f *following) report() *wire.SchedulerReport {
	f.site.now = f.now
	for i := range f.shape.hosts {
		f.site.poll(i)
	}
	return f.site.sched.Report(f.now)
}

// answer does what the leader does for one call.
func (f *following) answer(r *wire.FollowRequest) *wire.FollowResponse {
	answer := &wire.FollowResponse{
		Leader:     f.shape.member(0).GetName(),
		Revision:   f.state.Revision(),
		LeaseNanos: int64(follower.LeaseLength),
		Allotments: f.grant.Grant(f.now, r.GetMember(), r.GetDemands(), f.state),
	}
	for _, a := range answer.GetAllotments() {
		f.held[r.GetMember().GetName()+a.GetTeam()] = a
	}
	return answer
}

// measure returns the bytes of one call and the processor time that it costs
// the caller and the leader.
func (f *following) measure() []float64 {
	request, answer := f.call()
	bytes := callBytes(followMethod, request, answer)
	whole := perCall(func() { recode(f.answer(recode(f.request()))) })
	leader := perCall(func() { recode(f.answer(request)) })
	if f.site != nil {
		// The polls belong to another line.
		whole -= perCall(func() { f.report() })
		whole += perCall(func() { f.site.sched.Report(f.now) })
	}
	return []float64{bytes, max(whole-leader, 0), leader}
}
