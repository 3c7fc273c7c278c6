package jobgateway

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// followerReadTimeout limits a read of a host that does not lead. It answers from
	// memory, within a few milliseconds.
	followerReadTimeout = 200 * time.Millisecond
	// readerRetryDelay is how long a host gets no reads after one has failed.
	readerRetryDelay = 3 * time.Second
)

// isStateRead reports whether a call reads the state of one job. A path that ends with a
// slash names a queue.
func isStateRead(req *jobwire.JobRequest) bool {
	return req.GetGet() != nil && !strings.HasSuffix(req.GetAddress().GetPath(), "/")
}

// readFromFollower reads the state of a job from a host that does not lead. It returns nil
// if the leader has to be asked.
func (g *Gateway) readFromFollower(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	host := g.chooseReader(req.GetAddress().GetPath())
	if host == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, followerReadTimeout)
	defer cancel()
	resp := &jobwire.JobResponse{}
	if err := g.opts.Caller.Call(ctx, host, jobMethod, req, resp); err != nil {
		g.readerFailed(host, err)
		return nil
	}
	if resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
		return nil
	}
	return resp
}

// chooseReader returns the host for the reads of a path, or an empty name if there is none.
// Rendezvous hashing keeps all reads of one job on one host, so that its state doesn't seem
// to go back.
func (g *Gateway) chooseReader(path string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Clock.Now()
	best, bestScore := "", uint64(0)
	for _, host := range g.hosts {
		if host == g.leader {
			continue
		}
		if failedAt, ok := g.readersFailedAt[host]; ok && now.Sub(failedAt) < readerRetryDelay {
			continue
		}
		if score := xxhash.Sum64String(host + path); best == "" || score > bestScore {
			best, bestScore = host, score
		}
	}
	return best
}

// readerFailed notes that a read of a host has failed.
func (g *Gateway) readerFailed(host string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readersFailedAt[host] = g.opts.Clock.Now()
	g.opts.Logger.Info("gateway: a host that does not lead did not answer a read; it gets none for a while", "host", host, "cause", cause)
}
