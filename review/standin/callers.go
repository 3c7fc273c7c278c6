package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"
)

// Names in the configuration.
const (
	serviceName = "svc-1"
	routeHost   = "host-1.example"
	routePrefix = "/route1/"
	tenantKey   = "0123456789abcdefghij"
	// taskCPU is what a task asks for if its spec says nothing else, taskMemMB what each
	// asks for.
	taskCPU   = 1000
	taskMemMB = 100
)

const (
	// operatorTimeout is how long an operator waits for an answer before the next node.
	operatorTimeout = time.Second
	// retryDelay is the least pause between two attempts; it doubles up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// clientDeadline is the deadline that clients state.
	clientDeadline = 3 * time.Second
)

// caller sends one call without keeping connections open, so that each is independent.
var caller = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends one call and returns its status, 0 without a response in time.
func (d *deployment) call(ctx context.Context, who, method, address, host, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Authorization", "Token "+tenantKey)
		req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	d.rec.note("%s sends %s %s to %s", who, method, path, address)
	resp, err := caller.Do(req)
	if err != nil {
		d.rec.note("%s has no answer to %s %s", who, method, path)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.rec.note("%s has an incomplete answer to %s %s", who, method, path)
		return 0, nil
	}
	d.rec.note("%s is answered %d to %s %s: %s", who, resp.StatusCode, method, path, excerpt(data))
	return resp.StatusCode, data
}

// maxExcerpt bounds what the record shows of an answer.
const maxExcerpt = 160

func excerpt(data []byte) string {
	if len(data) > maxExcerpt {
		return string(data[:maxExcerpt]) + "..."
	}
	return string(data)
}

// order sends an order of the operator to the given nodes in turn until it is answered, as
// the pages say: on to the next node after no answer in a second, a 5xx, 408 or 429. It
// returns the status and the time of the answer.
func (d *deployment) order(ctx context.Context, addresses []string, method, path string, body []byte) (int, time.Time) {
	pause := retryDelay
	for n := 0; ctx.Err() == nil; n++ {
		status, _ := d.call(ctx, "operator", method, addresses[n%len(addresses)], "", path, body, operatorTimeout)
		if status > 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, time.Now()
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxRetryDelay)
	}
	return 0, time.Now()
}

// route is a route of the configuration.
type route map[string]any

func newRoute(name, prefix string) route {
	return route{
		"name":              name,
		"host":              routeHost,
		"path_prefix":       prefix,
		"kind":              "non_idempotent",
		"timeout_ms":        3000,
		"target_latency_ms": 2500,
		"priority":          0,
		"service":           serviceName,
		"attempts":          3,
		"stretch":           2.2,
		"public":            false,
	}
}

// configuration returns a configuration with the given version and routes.
func configuration(version int, routes ...route) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{
				"name":              serviceName,
				"health_path":       "/health",
				"max_conns":         64,
				"protocol":          "h1",
				"tls":               false,
				"cold_start_s":      0.0,
				"cold_per_s":        0.0,
				"enforces_capacity": true,
				"standby":           false,
			},
		},
		"limits": map[string]int{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []map[string]any{
			{
				"name":     "tenant-1",
				"api_keys": []string{tenantKey},
				"priority": 1,
				"weight":   10,
				"ceiling": map[string]int{
					"cpu":    0,
					"mem_mb": 0,
					"gpu":    0,
				},
			},
		},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// ready sends the first configuration and waits until a job has run on the deployment.
func (d *deployment) ready(ctx context.Context, first []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if status, _ := d.order(ctx, d.controls(), http.MethodPost, "/-/Config.Replace", first); status != http.StatusOK {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	id, err := d.submit(ctx, "ms=100", 2)
	if err != nil {
		return err
	}
	if state := d.awaitState(ctx, id, "completed"); state != "completed" {
		return fmt.Errorf("the first job is %s", state)
	}
	return nil
}

// submit hands in a job of one step and returns its id once it is accepted.
func (d *deployment) submit(ctx context.Context, spec string, tasks int) (string, error) {
	return d.submitStep(ctx, spec, map[string]any{
		"count": tasks,
	})
}

// submitOn hands in a job of one task for the minions of a rack.
func (d *deployment) submitOn(ctx context.Context, rack, spec string) (string, error) {
	return d.submitStep(ctx, spec, map[string]any{
		"count":          1,
		"required_label": rack,
	})
}

// submitStep hands in a job of one step, to which it adds what the spec says.
func (d *deployment) submitStep(ctx context.Context, spec string, step map[string]any) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	plan := parsePlan(spec)
	step["cpu"], step["mem_mb"], step["est_duration_ms"] = plan.cpu, taskMemMB, plan.duration.Milliseconds()
	body, err := json.Marshal(map[string]any{
		"spec":  spec,
		"steps": []map[string]any{step},
	})
	if err != nil {
		return "", err
	}
	for ctx.Err() == nil {
		status, _ := d.call(ctx, "client", http.MethodPost, d.frontAddress(), routeHost, routePrefix+id, body, clientDeadline)
		if status == http.StatusOK {
			return id, nil
		}
		sleep(ctx, retryDelay)
	}
	return "", errors.New("a job was not accepted in time")
}

func (d *deployment) frontAddress() string { return fmt.Sprintf("%s:%d", d.front.ip, frontPort) }

// state returns the state of a job, or how its read was answered.
func (d *deployment) state(ctx context.Context, id string) string {
	status, data := d.call(ctx, "client", http.MethodGet, d.frontAddress(), routeHost, routePrefix+id, nil, clientDeadline)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &body) == nil {
		return body.State
	}
	return fmt.Sprintf("answered %d", status)
}

// awaitState asks for the state of a job until it is the wanted one or ctx ends, and
// returns the last one.
func (d *deployment) awaitState(ctx context.Context, id string, wanted ...string) string {
	last := ""
	for ctx.Err() == nil {
		last = d.state(ctx, id)
		for _, state := range wanted {
			if last == state {
				return last
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return last
}

// changed returns a copy of a body with other values of some fields.
func changed(body map[string]any, changes map[string]any) map[string]any {
	body = maps.Clone(body)
	maps.Copy(body, changes)
	return body
}
