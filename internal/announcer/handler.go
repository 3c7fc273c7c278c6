package announcer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// maxBodyBytes limits the size of an announcement or a poll. The poll of a worker
// with 64 cores and a task on each thousandth of a core is smaller.
const maxBodyBytes = 4 << 20

// Directory stores the announcements of upstreams.
type Directory interface {
	// Announce adds or renews an upstream.
	Announce(u *wire.Upstream) error
	// Leave withdraws the announcement.
	Leave(u *wire.Upstream)
}

// PollHandler handles the polls of workers.
type PollHandler interface {
	// Poll returns the orders, or a message whose error field holds the reason why
	// there are none.
	Poll(ctx context.Context, poll *wire.WorkerPoll) *wire.WorkerOrders
}

// ControlForwarder forwards the announcements of job workers.
type ControlForwarder interface {
	// Control forwards a call to the leader and returns its response.
	Control(ctx context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse
}

// problem is an RFC 9457 problem details object.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// Handler serves /v1/upstreams, /v1/workers and /v1/job-workers.
type Handler struct {
	directory Directory
	workers   PollHandler
	jobs      ControlForwarder
	mux       *http.ServeMux
}

// NewHandler returns the HTTP handler of the announcement interface.
func NewHandler(directory Directory, workers PollHandler, jobs ControlForwarder) *Handler {
	h := &Handler{
		directory: directory,
		workers:   workers,
		jobs:      jobs,
		mux:       http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/upstreams", h.announce)
	h.mux.HandleFunc("POST /v1/upstreams/{id}/leave", h.leave)
	h.mux.HandleFunc("POST /v1/workers/{id}/poll", h.poll)
	h.mux.HandleFunc("POST /v1/job-workers", h.announceJobWorker)
	h.mux.HandleFunc("POST /v1/job-workers/{id}/leave", h.leaveJobWorker)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var u Upstream
	if err := decode(w, r, &u); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	if err := u.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, err)
		return
	}
	if err := h.directory.Announce(u.Wire()); err != nil {
		writeProblem(w, http.StatusConflict, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	var u Upstream
	if err := decode(w, r, &u); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	u.ID = r.PathValue("id")
	if err := u.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, err)
		return
	}
	h.directory.Leave(u.Wire())
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) poll(w http.ResponseWriter, r *http.Request) {
	var p Poll
	if err := decode(w, r, &p); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	if p.Worker != r.PathValue("id") {
		writeProblem(w, http.StatusUnprocessableEntity, errors.Errorf("worker %q does not match the path", p.Worker))
		return
	}
	if err := p.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, err)
		return
	}
	orders := h.workers.Poll(r.Context(), p.Wire())
	if orders.GetError() != "" {
		writeProblem(w, http.StatusServiceUnavailable, errors.New(orders.GetError()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(OrdersOf(orders))
}

func (h *Handler) announceJobWorker(w http.ResponseWriter, r *http.Request) {
	var j JobWorker
	if err := decode(w, r, &j); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	if err := j.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, err)
		return
	}
	h.forwardControl(w, r, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Report{
			Report: j.report(),
		},
	})
}

func (h *Handler) leaveJobWorker(w http.ResponseWriter, r *http.Request) {
	var j JobWorker
	if err := decode(w, r, &j); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	h.forwardControl(w, r, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Leave{
			Leave: &jobwire.WorkerLeave{
				Id:   r.PathValue("id"),
				Born: j.Born,
			},
		},
	})
}

// forwardControl forwards the call of a job worker to the leader. Any outcome but
// OK is answered with 503.
func (h *Handler) forwardControl(w http.ResponseWriter, r *http.Request, req *jobwire.ControlRequest) {
	resp := h.jobs.Control(r.Context(), req)
	if resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
		writeProblem(w, http.StatusServiceUnavailable, errors.Errorf("announcer: the announcement was not noted: %s", resp.GetReason()))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decode reads a JSON body with a limited size and without unknown fields.
func decode(w http.ResponseWriter, r *http.Request, target any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(target), "announcer: body")
}

// writeProblem answers with a problem details object.
func writeProblem(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: err.Error(),
	})
}
