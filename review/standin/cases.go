package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// foreignHeartbeat has another writer send one heartbeat with a service that the
// configuration doesn't name, for the address of a minion at work. It names no minion to
// use, and the others hold, so that no task may get a second run meanwhile.
func foreignHeartbeat(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.ready(ctx, configuration(1, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	id, err := d.submit(ctx, "ms=6000", 6)
	if err != nil {
		return false, err
	}
	for len(d.rec.atWork()) < 6 && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
	sleep(ctx, time.Second)
	if trouble {
		d.sendForeignHeartbeat(ctx, d.minionAtWork())
	}
	watch, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	state := d.awaitState(watch, id, "completed", "failed")
	if d.rec.overlapCount() > 0 {
		return true, nil
	}
	if state != "completed" {
		return false, fmt.Errorf("the job is %s", state)
	}
	return false, nil
}

// minionAtWork returns a minion with a run.
func (d *deployment) minionAtWork() *minion {
	for _, run := range d.rec.atWork() {
		for _, m := range d.minions {
			if m.id == run.minion {
				return m
			}
		}
	}
	return d.minions[0]
}

// sendForeignHeartbeat sends a heartbeat of another writer for the address of a minion.
func (d *deployment) sendForeignHeartbeat(ctx context.Context, m *minion) {
	body := changed(m.heartbeat(), map[string]any{
		"service": "svc-of-another-system",
		"born":    time.Now().UnixMilli(),
		"seq":     1,
	})
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	d.rec.note("another writer sends a heartbeat of an unknown service for the address of %s: %s", m.id, data)
	d.call(ctx, "another writer", http.MethodPost, d.cores[0].control(), "", "/-/Instances.Heartbeat/x-0000000000000001", data, operatorTimeout)
}

const (
	// freezeTime is how long a core machine stands still.
	freezeTime = 4 * time.Second
	// evacuateBound, applyBound and contactBound are the settings bounds.evacuate_ms,
	// bounds.config_apply_ms and bounds.contact_ms.
	evacuateBound = 5 * time.Second
	applyBound    = 2 * time.Second
	contactBound  = 3 * time.Second
)

// staleEvacuation has a core machine that doesn't lead stand still while the operator
// takes the evacuations of two zones back and starts them anew. The withdrawals were sent to
// that machine first, and to another after a second without an answer. When the machine
// wakes, the new evacuations have to stay in force.
func staleEvacuation(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.ready(ctx, configuration(1, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	frozen, err := d.follower(ctx)
	if err != nil {
		return false, err
	}
	sound := d.othersThan(frozen)
	if _, err := d.evacuate(ctx, sound, "Start"); err != nil {
		return false, err
	}
	sleep(ctx, 6*time.Second)
	woken := time.Now()
	if trouble {
		d.signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { d.signal(frozen, syscall.SIGCONT) })
		woken = woken.Add(freezeTime)
	}
	if _, err := d.evacuate(ctx, append([]string{frozen.control()}, sound...), "Finish"); err != nil {
		return false, err
	}
	sleep(ctx, 500*time.Millisecond)
	acknowledged, err := d.evacuate(ctx, sound, "Start")
	if err != nil {
		return false, err
	}
	bound := acknowledged.Add(evacuateBound)
	if calm := woken.Add(contactBound); calm.After(bound) {
		bound = calm
	}
	for time.Now().Before(bound.Add(6*time.Second)) && ctx.Err() == nil {
		if _, err := d.submit(ctx, "ms=400 cpu=8000", 8); err != nil {
			return false, err
		}
		sleep(ctx, 200*time.Millisecond)
	}
	n := 0
	for _, zone := range evacuatedZones() {
		n += d.rec.startsIn(zone, bound)
	}
	d.rec.note("%d starts in %v later than %v after the acknowledged evacuations, with all machines in touch", n, evacuatedZones(), evacuateBound)
	return n > 0, ctx.Err()
}

// evacuatedZones returns the zones that the operator evacuates: two of the three.
func evacuatedZones() []string { return zones[1:] }

// evacuate sends the start or the finish of the evacuation of each zone to the given nodes
// in turn, and returns the time of the last acknowledgement.
func (d *deployment) evacuate(ctx context.Context, addresses []string, call string) (time.Time, error) {
	last := time.Now()
	for _, zone := range evacuatedZones() {
		status, at := d.order(ctx, addresses, http.MethodPost, "/-/Evacuate."+call+"/"+zone, nil)
		if status != http.StatusOK {
			return last, fmt.Errorf("Evacuate.%s of %s was answered %d", call, zone, status)
		}
		last = at
	}
	return last, nil
}

// unreadableConfig sends a configuration that can't be read in full: its text has one
// closing brace too many. It has to be refused, and the last valid one to be read back.
func unreadableConfig(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.ready(ctx, configuration(3, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	next := configuration(5, newRoute("r-1", routePrefix), newRoute("r-2", "/route2/"))
	if trouble {
		next = append(next, '}')
	}
	sending, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	status, _ := d.order(sending, d.controls(), http.MethodPost, "/-/Config.Replace", next)
	sleep(ctx, applyBound)
	valid := 0
	for until := time.Now().Add(contactBound); time.Now().Before(until); sleep(ctx, 200*time.Millisecond) {
		for _, address := range d.controls() {
			status, data := d.call(ctx, "operator", http.MethodGet, address, "", "/-/Config.Read", nil, operatorTimeout)
			if status == http.StatusOK && json.Valid(data) {
				valid++
			}
		}
	}
	d.rec.note("the configuration was answered %d; %d reads of the configuration were answered with one", status, valid)
	switch {
	case trouble && status == http.StatusOK:
		return true, nil
	case valid == 0:
		return true, nil
	case !trouble && status != http.StatusOK:
		return false, fmt.Errorf("the valid configuration was answered %d", status)
	}
	return false, nil
}

// removedRoute removes the route of a job that is at work and adds it back as it was. A
// task fails once meanwhile, of the three attempts that the route gives it, so the job
// must not be shown as failed.
func removedRoute(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	first, other := newRoute("r-1", routePrefix), newRoute("r-2", "/route2/")
	if err := d.ready(ctx, configuration(1, first, other)); err != nil {
		return false, err
	}
	id, err := d.submit(ctx, "ms=4000 fail=1", 1)
	if err != nil {
		return false, err
	}
	for len(d.rec.atWork()) < 1 && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
	without := configuration(4, other)
	if !trouble {
		without = configuration(4, first)
	}
	for _, cfg := range [][]byte{without, configuration(9, first, other)} {
		if status, _ := d.order(ctx, d.controls(), http.MethodPost, "/-/Config.Replace", cfg); status != http.StatusOK {
			return false, fmt.Errorf("a configuration was answered %d", status)
		}
		sleep(ctx, 5*time.Second)
	}
	watch, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	switch state := d.awaitState(watch, id, "completed", "failed"); state {
	case "failed":
		return true, nil
	case "completed":
		return false, nil
	}
	return false, errors.New("the job has not ended")
}

const (
	// manyTasks is more than twice what one answer of a minion lists of ends.
	manyTasks = 1200
	// manyTasksSpec gives each a small part of a minion and 2.5 s.
	manyTasksSpec = "ms=2500 cpu=50"
)

// manyEnds has the leader killed while a job of many small tasks is at work, so that more
// of them end before the next leader than a minion lists at once. None may run again.
func manyEnds(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	return d.playManyEnds(ctx, func() error {
		leader, err := d.leader(ctx)
		if err == nil && trouble {
			d.kill(leader)
		}
		return err
	})
}

// minionCutTime is how long a minion is cut off while its tasks end, less than its lease.
const minionCutTime = 1500 * time.Millisecond

// manyEndsCut is manyEnds with the minion cut off in place of the loss of the leader.
func manyEndsCut(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	return d.playManyEnds(ctx, func() error {
		m := d.minionAtWork()
		if !trouble {
			return nil
		}
		d.rec.note("minion %s is cut off", m.id)
		m.link.setCut(true)
		time.AfterFunc(minionCutTime, func() {
			m.link.setCut(false)
			d.rec.note("minion %s is reached again", m.id)
		})
		return nil
	})
}

// playManyEnds runs a job of many small tasks and calls disturb shortly before they end.
func (d *deployment) playManyEnds(ctx context.Context, disturb func() error) (bool, error) {
	if err := d.ready(ctx, configuration(1, newRoute("r-1", routePrefix))); err != nil {
		return false, err
	}
	id, err := d.submit(ctx, manyTasksSpec, manyTasks)
	if err != nil {
		return false, err
	}
	for len(d.rec.atWork()) < manyTasks*3/4 && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
	if first := d.rec.atWork(); len(first) > 0 {
		sleep(ctx, time.Until(first[0].began.Add(parsePlan(manyTasksSpec).duration-100*time.Millisecond)))
	}
	if err := disturb(); err != nil {
		return false, err
	}
	watch, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	state := d.awaitState(watch, id, "completed", "failed")
	if n := d.rec.startsAfterDone() + d.rec.overlapCount(); n > 0 {
		return true, nil
	}
	if state != "completed" {
		return false, fmt.Errorf("the job is %s", state)
	}
	return false, nil
}
