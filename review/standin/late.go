package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// restartAfter is how long a crashed minion is down, and lateAfter how long after it
	// was sent the held order is carried out: the pages allow 2 to 12 s.
	restartAfter = 6 * time.Second
	lateAfter    = 6800 * time.Millisecond
	// firstHeartbeatAfter is how long after its restart the minion sends its first
	// heartbeat; it sends one about each heartbeatInterval.
	firstHeartbeatAfter = 1400 * time.Millisecond
)

// lateStart has a minion leave an order to start a task unanswered, and crash; the leader
// that sent it is killed. The minion is back under its id, and the order is carried out
// there late. By then the next leader must not have started the task elsewhere.
func lateStart(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.ready(ctx, configuration(1, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	leader, err := d.leader(ctx)
	if err != nil {
		return false, err
	}
	// The deadline in the order is a time on the clock of the former incarnation.
	sleep(ctx, 8*time.Second)
	held := make(chan heldCall, 1)
	if trouble {
		for _, m := range d.minions {
			m.link.setHolds(func(call heldCall) bool {
				if !strings.HasSuffix(call.path, "/run-start") {
					return false
				}
				select {
				case held <- call:
					return true
				default:
					return false
				}
			})
		}
	}
	id, err := d.submit(ctx, "ms=8000", 1)
	if err != nil {
		return false, err
	}
	if trouble {
		if err := d.crashWithOrder(ctx, leader, held); err != nil {
			return false, err
		}
	}
	watch, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	state := d.awaitState(watch, id, "completed", "failed")
	if d.rec.overlapCount()+d.rec.startsAfterDone() > 0 {
		return true, nil
	}
	if state != "completed" {
		return false, fmt.Errorf("the job is %s", state)
	}
	return false, nil
}

// crashWithOrder crashes the minion that got the held order and kills the leader that sent
// it. Later it restarts the minion and has it carry out the order.
func (d *deployment) crashWithOrder(ctx context.Context, leader *node, held chan heldCall) error {
	var call heldCall
	select {
	case call = <-held:
	case <-ctx.Done():
		return ctx.Err()
	}
	former, _ := call.link.state()
	d.rec.note("an order to %s is left unanswered: %s", former.id, call.body)
	former.crash()
	d.rec.note("minion %s crashes", former.id)
	d.kill(leader)
	time.AfterFunc(restartAfter, func() {
		later := former.next(firstHeartbeatAfter)
		d.rec.note("minion %s is back under its id, born %d", later.id, later.born.UnixMilli())
	})
	time.AfterFunc(lateAfter, func() {
		status := call.deliver(ctx)
		d.rec.note("the order is carried out late by %s: %d", former.id, status)
	})
	return nil
}

const (
	// minionAge is how old a minion is before it restarts, so that its clock is ahead of that
	// of its next incarnation.
	minionAge = 20 * time.Second
	// briefDownTime is how long the minion is down.
	briefDownTime = 500 * time.Millisecond
	// latePollAfter is how long after it was sent the held call is carried out.
	latePollAfter = 9 * time.Second
	// cutTime is how long the minion is cut off while it runs on.
	cutTime = 5500 * time.Millisecond
	// largeTaskSpec fills more than half of a minion.
	largeTaskSpec = "ms=30000 cpu=40000"
)

// latePoll has a minion leave one hold unanswered and restart under its id. The next
// incarnation carries the hold out late and is cut off then. While its lease lasts, what it
// runs must not start elsewhere.
func latePoll(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.ready(ctx, configuration(1, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	sleep(ctx, minionAge)
	rack := d.minions[0].rack
	held := make(chan heldCall, 1)
	if trouble {
		d.holdOnePoll(rack, held)
	}
	if _, err := d.submitOn(ctx, rack, "ms=2000 cpu=40000"); err != nil {
		return false, err
	}
	var call heldCall
	var later *minion
	if trouble {
		select {
		case call = <-held:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		former, _ := call.link.state()
		d.rec.note("a hold to %s is left unanswered: %s", former.id, call.body)
		former.crash()
		d.rec.note("minion %s crashes", former.id)
		sleep(ctx, briefDownTime)
		later = former.next(0)
		d.rec.note("minion %s is back under its id, born %d", later.id, later.born.UnixMilli())
	}
	heldAt := time.Now()
	// The tasks that the crash has ended are done first.
	sleep(ctx, 5*time.Second)
	jobs := make(map[string]string)
	for range 2 {
		id, err := d.submitOn(ctx, rack, largeTaskSpec)
		if err != nil {
			return false, err
		}
		jobs[id] = ""
	}
	for len(d.rec.atWork()) < len(jobs) && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
	for _, run := range d.rec.atWork() {
		jobs[strings.SplitN(run.task, ".", 2)[0]] = run.minion
	}
	if !trouble {
		for id := range jobs {
			if state := d.awaitState(ctx, id, "completed", "failed"); state != "completed" {
				return false, fmt.Errorf("a job is %s", state)
			}
		}
		return d.rec.overlapCount() > 0, nil
	}
	for id, minion := range jobs {
		if minion != later.id {
			// Its task leaves room on the other minion of the rack.
			d.call(ctx, "client", http.MethodDelete, d.frontAddress(), routeHost, routePrefix+id, nil, clientDeadline)
			delete(jobs, id)
		}
	}
	if len(jobs) != 1 {
		return false, errors.New("the restarted minion has no task")
	}
	sleep(ctx, time.Until(heldAt.Add(latePollAfter)))
	d.rec.note("the hold is carried out late by %s: %d", later.id, call.deliver(ctx))
	sleep(ctx, 100*time.Millisecond)
	d.rec.note("minion %s is cut off", later.id)
	later.link.setCut(true)
	sleep(ctx, cutTime)
	later.link.setCut(false)
	d.rec.note("minion %s is reached again", later.id)
	sleep(ctx, 2*time.Second)
	return d.rec.overlapCount() > 0, nil
}

// holdOnePoll holds up the first hold to a minion of a rack that extends its lease.
func (d *deployment) holdOnePoll(rack string, held chan heldCall) {
	for _, m := range d.minions {
		if m.rack != rack {
			continue
		}
		m.link.setHolds(func(call heldCall) bool {
			var body orderBody
			if !strings.HasSuffix(call.path, "/hold") || json.Unmarshal(call.body, &body) != nil || body.Deadline == 0 {
				return false
			}
			select {
			case held <- call:
				return true
			default:
				return false
			}
		})
	}
}
