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

	// callsPerRepeat is the number of calls in one repeat. The caller's and the
	// leader's parts are timed separately, and a single call is too short for that.
	callsPerRepeat = 200
)

// followRate is the number of follow calls per second of one entry host.
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
		teams.withFollowCalls("first follow call, whole", targetTeams, targetEntryHosts, newTeamsFollowSetup, (*followSetup).measureFull),
		teams.withFollowCalls("steady follow call", targetTeams, targetEntryHosts, newTeamsFollowSetup, (*followSetup).measureSteady),
		hosts.withFollowCalls("first follow call with the report, whole", hostsPerDataCentre, targetDataCentres, newHostsFollowSetup, (*followSetup).measureFull),
		hosts.withFollowCalls("steady follow call, tasks change on a quarter of the hosts", hostsPerDataCentre, targetDataCentres, newHostsFollowSetup, (*followSetup).measureSteady),
	}
}

// withFollowCalls returns p as a probe of one kind of follow call. Its metrics
// assume the given number of callers at the target size.
func (p probe) withFollowCalls(name string, target, callers float64, build func(n int) *followSetup, measure func(*followSetup) []float64) probe {
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
			bound:  maxBytesPerSecond,
		},
		{
			name:   "processor time of the caller",
			value:  1,
			unit:   cpuTime,
			target: target,
			rate:   followRate,
			bound:  maxCorePercent,
		},
		{
			name:   "processor time of the leader for all callers",
			value:  2,
			unit:   cpuTime,
			target: target,
			rate:   followRate * callers,
			bound:  maxCorePercent,
		},
	}
}

// followSetup has the entry hosts of a fleet and the leader that they follow. Entry
// host 0 may also send the reports of a scheduler.
type followSetup struct {
	size       fleetSize
	state      controller.State
	alloc      *allocator.Allocator
	sources    []follower.Source
	allotments []map[string]*wire.RequestAllotment
	// reports are sent in turn; nil without a scheduler.
	reports []*wire.SchedulerReport
	now     time.Time
	calls   int
	bytes   float64
	// leaderTime is the processor time spent in the leader.
	leaderTime time.Duration
}

func newTeamsFollowSetup(teams int) *followSetup {
	s := targetFleet()
	s.hosts = 100
	s.teams = teams
	return newFollowSetup(s, nil)
}

func newHostsFollowSetup(hosts int) *followSetup {
	first := newDataCentreScheduler(oneDataCentre(hosts), tasksPerWorker).report()
	return newFollowSetup(oneDataCentre(hosts), []*wire.SchedulerReport{
		deltaencoder.Summary(first),
		deltaencoder.Summary(nextReport(first)),
	})
}

// nextReport returns the report after some tasks have started and ended. With 20
// one-minute tasks on each host, a quarter of the hosts have a start or an end
// between two calls, and so do all teams and pools.
func nextReport(r *wire.SchedulerReport) *wire.SchedulerReport {
	next := proto.CloneOf(r)
	for i, h := range next.GetHosts() {
		if i%4 == 0 {
			h.Tasks++
			h.Running = fraction(h.GetRunning(), 99, 100)
		}
	}
	for _, t := range next.GetTeams() {
		t.Running = fraction(t.GetRunning(), 99, 100)
	}
	for _, p := range next.GetPools() {
		p.Running = fraction(p.GetRunning(), 99, 100)
	}
	return next
}

func newFollowSetup(s fleetSize, reports []*wire.SchedulerReport) *followSetup {
	f := &followSetup{
		size:    s,
		state:   s.state(),
		alloc:   allocator.New(),
		reports: reports,
		now:     startTime,
	}
	receiver := deltaencoder.NewReceiver(f)
	for range s.entryHosts {
		f.allotments = append(f.allotments, nil)
		f.sources = append(f.sources, deltaencoder.NewSender(&leaderConn{
			receiver:    receiver,
			followSetup: f,
		}))
	}
	// 20 rounds bring the request allotments of all entry hosts to steady values.
	for range 20 {
		f.round()
	}
	return f
}

// round makes one follow call from each entry host.
func (f *followSetup) round() {
	for i := range f.sources {
		f.now = f.now.Add(follower.Interval / time.Duration(len(f.sources)))
		f.call(i)
	}
}

// call makes one follow call from an entry host. It panics on an error, because
// leaderConn loses no calls.
func (f *followSetup) call(host int) {
	answer, err := f.sources[host].Follow(context.Background(), f.size.member(0), f.request(host))
	if err != nil {
		panic(err)
	}
	f.allotments[host] = make(map[string]*wire.RequestAllotment)
	for _, a := range answer.GetAllotments() {
		f.allotments[host][a.GetTeam()] = a
	}
}

// request returns the follow request that internal/daemon and internal/follower
// would send.
func (f *followSetup) request(host int) *wire.FollowRequest {
	r := &wire.FollowRequest{
		Member:   f.size.member(host),
		Revision: f.state.Revision(),
	}
	for _, ref := range f.state.Teams() {
		name := ref.Team.GetName()
		r.Demands = append(r.Demands, &wire.TeamDemand{
			Team:            name,
			HeldRate:        f.allotments[host][name].GetRate(),
			HeldConcurrency: f.allotments[host][name].GetConcurrency(),
		})
	}
	if host == 0 && f.reports != nil {
		f.calls++
		r.Report = f.reports[f.calls%len(f.reports)]
	}
	return r
}

// Follow answers one call as the leader does.
func (f *followSetup) Follow(_ context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	return &wire.FollowResponse{
		Leader:     f.size.member(0).GetName(),
		Revision:   f.state.Revision(),
		LeaseNanos: int64(follower.LeaseLength),
		Allotments: f.alloc.Grant(f.now, r.GetMember(), r.GetDemands(), f.state),
	}, nil
}

// leaderConn replaces the connection of one entry host to the leader, and measures
// bytes and leader time.
type leaderConn struct {
	receiver *deltaencoder.Receiver
	*followSetup
}

// Follow encodes and decodes the request and the response as the messenger does.
func (l *leaderConn) Follow(ctx context.Context, _ *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	encoded := marshal(r)
	began := processorTime()
	answer, err := l.receiver.Follow(ctx, unmarshal[wire.FollowRequest](encoded))
	response := marshal(answer)
	l.leaderTime += processorTime() - began
	l.bytes = callBytes(followMethod, r, answer)
	return unmarshal[wire.FollowResponse](response), err
}

// measureSteady returns the bytes of a call from entry host 0, and the processor
// times of the caller and of the leader.
func (f *followSetup) measureSteady() []float64 {
	return f.measure(func() { f.call(0) })
}

// measureFull is like measureSteady for first calls, in which caller and leader
// have no earlier call to refer to, so that everything is sent in full.
func (f *followSetup) measureFull() []float64 {
	receiver := deltaencoder.NewReceiver(f)
	return f.measure(func() {
		f.sources[0] = deltaencoder.NewSender(&leaderConn{
			receiver:    receiver,
			followSetup: f,
		})
		receiver = deltaencoder.NewReceiver(f)
		f.call(0)
	})
}

func (f *followSetup) measure(call func()) []float64 {
	call()
	var caller, leader float64
	for i := range repeats {
		runtime.GC()
		f.leaderTime = 0
		began := processorTime()
		for range callsPerRepeat {
			f.now = f.now.Add(follower.Interval)
			call()
		}
		total := processorTime() - began
		if each := float64(total-f.leaderTime) / callsPerRepeat; i == 0 || each < caller {
			caller = each
		}
		if each := float64(f.leaderTime) / callsPerRepeat; i == 0 || each < leader {
			leader = each
		}
	}
	return []float64{f.bytes, caller, leader}
}
