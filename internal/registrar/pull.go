package registrar

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// origin is what this host knows of the records of another entry host.
type origin struct {
	incarnation string
	sequence    uint64
	records     map[string]*wire.Upstream
	// heardAt is the sending time of the last pull that was answered.
	heardAt time.Time
	live    bool
}

// PullRequest returns what to ask the named origin for.
func (r *Registrar) PullRequest(name string) *wire.PullRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := &wire.PullRequest{
		From: r.self.GetName(),
	}
	if o, ok := r.origins[name]; ok {
		request.Incarnation = o.incarnation
		request.Since = o.sequence
	}
	return request
}

// ServePull answers the pull of another entry host.
func (r *Registrar) ServePull(request *wire.PullRequest) *wire.PullResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := &wire.PullResponse{
		Origin:      r.self.GetName(),
		Incarnation: r.self.GetIncarnation(),
		Sequence:    r.sequence,
	}
	oldest := r.sequence - uint64(len(r.changes))
	if request.GetIncarnation() == r.self.GetIncarnation() && request.GetSince() >= oldest && request.GetSince() <= r.sequence {
		answer.Records = r.changes[request.GetSince()-oldest:]
		return answer
	}
	answer.Full = true
	for _, rec := range r.own {
		answer.Records = append(answer.Records, &wire.UpstreamRecord{
			Sequence: r.sequence,
			Upstream: rec.upstream,
		})
	}
	return answer
}

// Pulled takes the answer to a pull that was sent at the given time.
func (r *Registrar) Pulled(sent time.Time, answer *wire.PullResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.origins[answer.GetOrigin()]
	if !ok {
		o = &origin{}
		r.origins[answer.GetOrigin()] = o
	}
	if sent.Before(o.heardAt) {
		// A newer pull was answered first; this answer could undo a departure.
		return
	}
	sameOrigin := o.incarnation == answer.GetIncarnation()
	if answer.GetFull() || !sameOrigin {
		o.records = make(map[string]*wire.Upstream, len(answer.GetRecords()))
	}
	o.incarnation = answer.GetIncarnation()
	changed := answer.GetFull() || !o.live
	for _, rec := range answer.GetRecords() {
		if answer.GetFull() || rec.GetSequence() > o.sequence {
			r.take(o, rec)
			changed = true
		}
	}
	o.sequence = answer.GetSequence()
	o.heardAt = sent
	o.live = r.clock.Now().Sub(sent) < SilenceLimit
	if changed {
		r.rebuild()
	}
}

// take applies one record of an origin; r.mu is held.
func (r *Registrar) take(o *origin, rec *wire.UpstreamRecord) {
	u := rec.GetUpstream()
	if !rec.GetRemoved() {
		o.records[u.GetId()] = u
		return
	}
	delete(o.records, u.GetId())
	if u.GetLeaving() {
		r.departed[departureName(u)] = r.clock.Now()
		r.dropOwn(u)
	}
}

// dropOwn removes an own record of an upstream that left through another entry host.
func (r *Registrar) dropOwn(u *wire.Upstream) {
	if rec, ok := r.own[u.GetId()]; ok && rec.upstream.GetIncarnation() == u.GetIncarnation() {
		delete(r.own, u.GetId())
		r.record(rec.upstream, true)
	}
}
