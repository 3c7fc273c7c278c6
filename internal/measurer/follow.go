package measurer

import (
	"context"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/allocator"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/deltaencoder"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	roleFollower = "follower and ingress"

	followMethod = "Control.Follow"

	// measuredCalls are in one repeat. The parts of a call are timed in it, so
	// that a single call would be too short.
	measuredCalls = 200
)

// followRate is the number of follow calls a second of one entry host.
var followRate = 1 / follower.Interval.Seconds()

func followProbes() []probe {
	teams := probe{
		role:  roleFollower,
		axis:  "teams",
		sizes: []int{10, 35, 71, 142},
	}
	hosts := probe{
		role:  roleScheduler,
		axis:  "hosts",
		sizes: []int{50, 200, 600, 1200},
	}
	return []probe{
		teams.following("first follow call, whole", targetTeams, targetEntryHosts, newTeamsFollowing, (*following).measureWhole),
		teams.following("steady follow call", targetTeams, targetEntryHosts, newTeamsFollowing, (*following).measureSteady),
		hosts.following("first follow call with the report, whole", hostsHere, targetDataCentres, newHostsFollowing, (*following).measureWhole),
		hosts.following("steady follow call, tasks change on a quarter of the hosts", hostsHere, targetDataCentres, newHostsFollowing, (*following).measureSteady),
	}
}

// following returns the probe of one form of follow calls.
func (p probe) following(name string, target, callers float64, build func(n int) *following, measure func(*following) []float64) probe {
	p.name = name
	p.metrics = followMetrics(target, callers)
	p.measure = func(_ context.Context, n int) ([]float64, error) { return measure(build(n)), nil }
	return p
}

func followMetrics(target, callers float64) []metric {
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
		{
			name:   "processor time of the leader for all callers",
			value:  2,
			unit:   cpuTime,
			target: target,
			rate:   followRate * callers,
			bound:  boundCore,
		},
	}
}

// following is the entry hosts of a fleet and the leader that they follow. The
// host 0 may report for a scheduler.
type following struct {
	shape   shape
	state   controller.State
	grant   *allocator.Allocator
	sources []follower.Source
	held    []map[string]*wire.RequestAllotment
	// reports are sent in turn; nil without a scheduler.
	reports []*wire.SchedulerReport
	now     time.Time
	calls   int
	bytes   float64
	// leading is the processor time in the leader.
	leading time.Duration
}

func newTeamsFollowing(teams int) *following {
	s := targetShape()
	s.hosts = 100
	s.teams = teams
	return newFollowing(s, nil)
}

func newHostsFollowing(hosts int) *following {
	first := newSite(here(hosts), tasksOfWorker).report()
	return newFollowing(here(hosts), []*wire.SchedulerReport{
		deltaencoder.Summary(first),
		deltaencoder.Summary(later(first)),
	})
}

// later returns the report after some tasks have started and ended. With 20
// tasks of a minute on a host, a quarter of the hosts see a start or an end
// between two calls, and every team and pool does.
func later(r *wire.SchedulerReport) *wire.SchedulerReport {
	next := proto.CloneOf(r)
	for i, h := range next.GetHosts() {
		if i%4 == 0 {
			h.Tasks++
			h.Running = part(h.GetRunning(), 99, 100)
		}
	}
	for _, t := range next.GetTeams() {
		t.Running = part(t.GetRunning(), 99, 100)
	}
	for _, p := range next.GetPools() {
		p.Running = part(p.GetRunning(), 99, 100)
	}
	return next
}

func newFollowing(s shape, reports []*wire.SchedulerReport) *following {
	f := &following{
		shape:   s,
		state:   s.state(),
		grant:   allocator.New(),
		reports: reports,
		now:     start,
	}
	receiver := deltaencoder.NewReceiver(f)
	for range s.entryHosts {
		f.held = append(f.held, nil)
		f.sources = append(f.sources, deltaencoder.NewSender(&line{
			to:        receiver,
			following: f,
		}))
	}
	// All entry hosts hold steady parts before calls are measured.
	for range 20 {
		f.round()
	}
	return f
}

// round lets all entry hosts call once.
func (f *following) round() {
	for i := range f.sources {
		f.now = f.now.Add(follower.Interval / time.Duration(len(f.sources)))
		f.call(i)
	}
}

// call is one follow call of a host; the stand-in of the connection loses none.
func (f *following) call(host int) {
	answer, err := f.sources[host].Follow(context.Background(), f.shape.member(0), f.request(host))
	if err != nil {
		panic(err)
	}
	f.held[host] = make(map[string]*wire.RequestAllotment)
	for _, a := range answer.GetAllotments() {
		f.held[host][a.GetTeam()] = a
	}
}

// request fills in what internal/daemon and internal/follower do.
func (f *following) request(host int) *wire.FollowRequest {
	r := &wire.FollowRequest{
		Member:   f.shape.member(host),
		Revision: f.state.Revision(),
	}
	for _, ref := range f.state.Teams() {
		name := ref.Team.GetName()
		r.Demands = append(r.Demands, &wire.TeamDemand{
			Team:            name,
			HeldRate:        f.held[host][name].GetRate(),
			HeldConcurrency: f.held[host][name].GetConcurrency(),
		})
	}
	if host == 0 && f.reports != nil {
		f.calls++
		r.Report = f.reports[f.calls%len(f.reports)]
	}
	return r
}

// Follow does what the leader does for one call.
func (f *following) Follow(_ context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	return &wire.FollowResponse{
		Leader:     f.shape.member(0).GetName(),
		Revision:   f.state.Revision(),
		LeaseNanos: int64(follower.LeaseLength),
		Allotments: f.grant.Grant(f.now, r.GetMember(), r.GetDemands(), f.state),
	}, nil
}

// line is the connection of one entry host to the leader.
type line struct {
	to *deltaencoder.Receiver
	*following
}

// Follow carries one call as the messenger does.
func (l *line) Follow(ctx context.Context, _ *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	encoded := marshal(r)
	began := processorTime()
	answer, err := l.to.Follow(ctx, unmarshal[wire.FollowRequest](encoded))
	answered := marshal(answer)
	l.leading += processorTime() - began
	l.bytes = callBytes(followMethod, r, answer)
	return unmarshal[wire.FollowResponse](answered), err
}

// measureSteady returns the bytes of a call of host 0 and the processor time
// that it costs the caller and the leader.
func (f *following) measureSteady() []float64 {
	return f.measure(func() { f.call(0) })
}

// measureWhole is measureSteady for a caller that the leader does not know.
func (f *following) measureWhole() []float64 {
	receiver := deltaencoder.NewReceiver(f)
	return f.measure(func() {
		f.sources[0] = deltaencoder.NewSender(&line{
			to:        receiver,
			following: f,
		})
		receiver = deltaencoder.NewReceiver(f)
		f.call(0)
	})
}

func (f *following) measure(call func()) []float64 {
	call()
	var caller, leader float64
	for i := range repeats {
		runtime.GC()
		f.leading = 0
		began := processorTime()
		for range measuredCalls {
			f.now = f.now.Add(follower.Interval)
			call()
		}
		whole := processorTime() - began
		if each := float64(whole-f.leading) / measuredCalls; i == 0 || each < caller {
			caller = each
		}
		if each := float64(f.leading) / measuredCalls; i == 0 || each < leader {
			leader = each
		}
	}
	return []float64{f.bytes, caller, leader}
}
