package deltaencoder_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/internal/deltaencoder"
	"github.com/heathermux/heathermux/internal/wire"
)

// TestMain fixes the seed of the randomly drawn calls; -rapid.seed chooses
// another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var errLost = errors.New("no answer")

// fakeLeader keeps the newest request of each incarnation, as the voter does.
type fakeLeader struct {
	answer   *wire.FollowResponse
	received map[string]*wire.FollowRequest
}

func (l *fakeLeader) Follow(_ context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if l.received == nil {
		l.received = make(map[string]*wire.FollowRequest)
	}
	l.received[r.GetMember().GetIncarnation()] = proto.CloneOf(r)
	return proto.CloneOf(l.answer), nil
}

// network passes calls to receivers by the voter's name and can lose them.
type network struct {
	receivers map[string]*deltaencoder.Receiver
	// loseRequest and loseAnswer apply to each call until they are changed.
	loseRequest, loseAnswer bool
	// sent holds copies of all requests, for repeated delivery.
	sent  []*wire.FollowRequest
	bytes int
}

func (n *network) Follow(ctx context.Context, voter *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	n.sent = append(n.sent, proto.CloneOf(r))
	n.bytes += proto.Size(r)
	if n.loseRequest {
		return nil, errLost
	}
	answer, err := n.receivers[voter.GetName()].Follow(ctx, proto.CloneOf(r))
	n.bytes += proto.Size(answer)
	if n.loseAnswer {
		return nil, errLost
	}
	return answer, err
}

func drawReport(t *rapid.T) *wire.SchedulerReport {
	if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
		return nil
	}
	r := &wire.SchedulerReport{
		DataCentre: "lima",
		Epoch:      uint64(rapid.IntRange(1, 2).Draw(t, "epoch")),
	}
	for i := range 4 {
		tasks := int64(rapid.IntRange(-1, 2).Draw(t, "tasks"))
		if tasks < 0 {
			continue
		}
		name := fmt.Sprint("n-", i)
		r.Hosts = append(r.Hosts, &wire.HostUse{
			Host:  name,
			Tasks: tasks,
		})
		r.Teams = append(r.Teams, &wire.TeamUse{
			Team: name,
			Running: &wire.Resources{
				MilliCores: tasks,
			},
		})
		r.Pools = append(r.Pools, &wire.PoolUse{
			Pool: name,
			Waiting: &wire.Resources{
				MilliCores: tasks,
			},
		})
	}
	return r
}

func drawRequest(t *rapid.T, incarnation string, revision uint64) *wire.FollowRequest {
	r := &wire.FollowRequest{
		Member: &wire.Member{
			Name:        "e-1",
			Incarnation: incarnation,
		},
		Revision: revision,
		Report:   drawReport(t),
	}
	for i := range 4 {
		if queued := int64(rapid.IntRange(-1, 1).Draw(t, "queued")); queued >= 0 {
			r.Demands = append(r.Demands, &wire.TeamDemand{
				Team:   fmt.Sprint("t-", i),
				Queued: queued,
			})
		}
	}
	return r
}

func drawAnswer(t *rapid.T) *wire.FollowResponse {
	a := &wire.FollowResponse{
		LeaseNanos: int64(rapid.IntRange(0, 1).Draw(t, "lease")),
	}
	for i := range 4 {
		if rate := int64(rapid.IntRange(-1, 2).Draw(t, "rate")); rate >= 0 && a.GetLeaseNanos() > 0 {
			a.Allotments = append(a.Allotments, &wire.RequestAllotment{
				Team: fmt.Sprint("t-", i),
				Rate: rate,
			})
		}
	}
	return a
}

// upper-limit: the leader distributes shares of limits according to what it
// believes the hosts hold. Whatever is lost, late or restarted, it must receive
// each request exactly as the follower made it, and the follower each answer
// exactly as the leader made it. An older request must never replace a newer
// one.
func TestWholeMessagesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaders := map[string]*fakeLeader{
			"v-1": {},
			"v-2": {},
		}
		n := &network{
			receivers: make(map[string]*deltaencoder.Receiver),
		}
		restart := func(voter string) {
			n.receivers[voter] = deltaencoder.NewReceiver(leaders[voter])
		}
		restart("v-1")
		restart("v-2")
		sender := deltaencoder.NewSender(n)
		incarnation := "i-0"
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			voter := rapid.SampledFrom([]string{"v-1", "v-1", "v-1", "v-2"}).Draw(t, "voter")
			if rapid.IntRange(0, 15).Draw(t, "voter restarts") == 0 {
				restart(voter)
			}
			if rapid.IntRange(0, 15).Draw(t, "follower restarts") == 0 {
				sender = deltaencoder.NewSender(n)
				incarnation = fmt.Sprint("i-", i+1)
			}
			n.loseRequest = rapid.IntRange(0, 6).Draw(t, "lose request") == 0
			n.loseAnswer = rapid.IntRange(0, 6).Draw(t, "lose answer") == 0
			request := drawRequest(t, incarnation, uint64(i))
			leaders[voter].answer = drawAnswer(t)
			former := leaders[voter].received[incarnation]
			got, err := sender.Follow(t.Context(), &wire.Member{
				Name: voter,
			}, proto.CloneOf(request))
			// A failed call was either received unchanged or had no effect.
			received := leaders[voter].received[incarnation]
			if !proto.Equal(received, request) && (err == nil || !proto.Equal(received, former)) {
				t.Fatalf("the leader received %v instead of %v", received, request)
			}
			if err == nil {
				got.Held = false
				if !proto.Equal(got, leaders[voter].answer) {
					t.Fatalf("the follower received %v instead of %v", got, leaders[voter].answer)
				}
			}
			if err != nil || rapid.IntRange(0, 4).Draw(t, "late") > 0 {
				continue
			}
			// A request of an earlier call arrives a second time.
			late := rapid.SampledFrom(n.sent).Draw(t, "late request")
			_, _ = n.receivers[voter].Follow(t.Context(), proto.CloneOf(late))
			if received := leaders[voter].received[incarnation]; !proto.Equal(received, request) {
				t.Fatalf("a late request replaced %v with %v", request, received)
			}
		}
	})
}

// A follower whose state does not change must not resend what the leader knows.
// This keeps the control traffic of an entry host within its limit.
func TestSteadyCallsAreSmall(t *testing.T) {
	is := is.New(t)
	l := &fakeLeader{
		answer: &wire.FollowResponse{
			LeaseNanos: 1,
		},
	}
	n := &network{
		receivers: map[string]*deltaencoder.Receiver{
			"v-1": deltaencoder.NewReceiver(l),
		},
	}
	request := &wire.FollowRequest{
		Member: &wire.Member{
			Name: "e-1",
		},
		Report: &wire.SchedulerReport{
			DataCentre: "lima",
			Epoch:      1,
		},
	}
	for i := range 600 {
		name := fmt.Sprintf("n-%03d", i)
		request.Report.Hosts = append(request.Report.Hosts, &wire.HostUse{
			Host:  name,
			Alive: true,
		})
		l.answer.Allotments = append(l.answer.Allotments, &wire.RequestAllotment{
			Team: name,
			Rate: 1,
		})
	}
	sender := deltaencoder.NewSender(n)
	var sizes []int
	for range 3 {
		n.bytes = 0
		_, err := sender.Follow(t.Context(), &wire.Member{
			Name: "v-1",
		}, request)
		is.NoErr(err)
		sizes = append(sizes, n.bytes)
	}
	is.True(sizes[0] > 10_000)
	is.True(sizes[1] < 100)
	is.Equal(sizes[1], sizes[2])
}
