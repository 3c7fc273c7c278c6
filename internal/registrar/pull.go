package registrar

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// origin holds this host's copy of the records of another entry host.
type origin struct {
	incarnation string
	sequence    uint64
	records     map[string]*wire.Upstream
	// lastPullSentAt is when the last answered pull was sent.
	lastPullSentAt time.Time
	// live tells whether the origin answered within OriginTimeout.
	live bool
}

// PullRequest returns the request for the changes of the named origin since the
// last pull.
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

// ServePull returns the response to a pull of another entry host: the changes since
// the requested sequence, or all own records if those changes are not kept.
func (r *Registrar) ServePull(request *wire.PullRequest) *wire.PullResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &wire.PullResponse{
		Origin:      r.self.GetName(),
		Incarnation: r.self.GetIncarnation(),
		Sequence:    r.sequence,
	}
	oldest := r.sequence - uint64(len(r.changes))
	if request.GetIncarnation() == r.self.GetIncarnation() && request.GetSince() >= oldest && request.GetSince() <= r.sequence {
		response.Records = r.changes[request.GetSince()-oldest:]
		return response
	}
	response.Full = true
	for _, rec := range r.own {
		response.Records = append(response.Records, &wire.UpstreamRecord{
			Sequence: r.sequence,
			Upstream: rec.upstream,
		})
	}
	return response
}

// ApplyPullResponse applies the response to a pull that was sent at the given
// time.
func (r *Registrar) ApplyPullResponse(sent time.Time, response *wire.PullResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.origins[response.GetOrigin()]
	if !ok {
		o = &origin{}
		r.origins[response.GetOrigin()] = o
	}
	if sent.Before(o.lastPullSentAt) {
		// A later pull was answered first. This outdated response could list an
		// upstream again that has left since.
		return
	}
	sameOrigin := o.incarnation == response.GetIncarnation()
	if response.GetFull() || !sameOrigin {
		o.records = make(map[string]*wire.Upstream, len(response.GetRecords()))
	}
	o.incarnation = response.GetIncarnation()
	changed := response.GetFull() || !o.live
	for _, rec := range response.GetRecords() {
		if response.GetFull() || rec.GetSequence() > o.sequence {
			r.applyRecord(o, rec)
			changed = true
		}
	}
	o.sequence = response.GetSequence()
	o.lastPullSentAt = sent
	o.live = r.clock.Now().Sub(sent) < OriginTimeout
	if changed {
		r.rebuildTable()
	}
}

// applyRecord applies one record of an origin. r.mu must be held.
func (r *Registrar) applyRecord(o *origin, rec *wire.UpstreamRecord) {
	u := rec.GetUpstream()
	if !rec.GetRemoved() {
		o.records[u.GetId()] = u
		return
	}
	delete(o.records, u.GetId())
	if u.GetLeaving() {
		r.departures[departureKey(u)] = r.clock.Now()
		r.removeOwn(u)
	}
}

// removeOwn removes the own record of an upstream that left through another entry
// host. r.mu must be held.
func (r *Registrar) removeOwn(u *wire.Upstream) {
	if rec, ok := r.own[u.GetId()]; ok && rec.upstream.GetIncarnation() == u.GetIncarnation() {
		delete(r.own, u.GetId())
		r.appendChange(rec.upstream, true)
	}
}
