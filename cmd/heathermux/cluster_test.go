package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-resty/resty/v2"

	// The test runs a program that it builds. Without these imports the results
	// would be cached while that program changes.
	_ "github.com/heathermux/heathermux/internal/commander"
	_ "github.com/heathermux/heathermux/internal/daemon"
	_ "github.com/heathermux/heathermux/internal/demonstrator"
	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/pkg/timer"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "heathermux-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "heathermux")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// hostCount entry hosts run; the first three are voters in three data centres.
	hostCount  = 4
	voterCount = 3

	// patience bounds every wait. It is far above what any step takes, so that
	// a busy machine changes no verdict.
	patience = 60 * time.Second
)

// cluster is a deployment of real processes on loopback.
type cluster struct {
	t           *testing.T
	folder      string
	hosts       []*process
	operatorKey string
	teamKey     string
	client      *resty.Client
	ledger      *emulator.Ledger
}

// process is one entry host.
type process struct {
	name, url, settings, data string
	cmd                       *exec.Cmd
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t:           t,
		folder:      t.TempDir(),
		operatorKey: operator.NewKey(),
		teamKey:     operator.NewKey(),
		client:      resty.New().SetTimeout(5 * time.Second),
		ledger:      &emulator.Ledger{},
	}
	c.writeFiles()
	for _, h := range c.hosts {
		c.start(h)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			c.kill(h)
		}
		c.client.GetClient().CloseIdleConnections()
	})
	return c
}

// clusters numbers the clusters of this process.
var clusters atomic.Int64

// addresses returns the HTTP and the peer address of a host. Each cluster has
// loopback addresses of its own, because a free port of 127.0.0.1 may be taken
// by another test before a process listens on it.
func addresses(cluster int64, host int) (httpAddress, peerAddress string) {
	const first, span = 64, 128
	ip := fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%span, cluster, host+1)
	return ip + ":8080", ip + ":7080"
}

func (c *cluster) writeFiles() {
	cluster := clusters.Add(1)
	var peers []map[string]string
	var names []string
	for i := range hostCount {
		name := fmt.Sprintf("e-%d", i+1)
		_, peerAddress := addresses(cluster, i)
		peers = append(peers, map[string]string{
			"name":         name,
			"peer-address": peerAddress,
			"data-centre":  fmt.Sprintf("dc-%d", i%voterCount+1),
		})
		if i < voterCount {
			names = append(names, name)
		}
	}
	deployment := filepath.Join(c.folder, "deployment.jsonc")
	c.write(deployment, c.deployment())
	for i, p := range peers {
		h := &process{
			name:     p["name"],
			settings: filepath.Join(c.folder, p["name"]+".jsonc"),
			data:     filepath.Join(c.folder, "data", p["name"]),
		}
		address, _ := addresses(cluster, i)
		h.url = "http://" + address
		settings := map[string]any{
			"name":         h.name,
			"region":       "test",
			"data-centre":  p["data-centre"],
			"http-address": address,
			"peer-address": p["peer-address"],
			"voters":       names,
			"peers":        peers,
			"bootstrap":    deployment,
		}
		if len(c.hosts) < voterCount {
			settings["data-folder"] = h.data
		}
		c.write(h.settings, settings)
		c.hosts = append(c.hosts, h)
	}
}

func (c *cluster) deployment() map[string]any {
	var dataCentres []map[string]string
	for i := range voterCount {
		dataCentres = append(dataCentres, map[string]string{
			"name":   fmt.Sprintf("dc-%d", i+1),
			"region": "test",
		})
	}
	return map[string]any{
		"data-centres": dataCentres,
		"pools": []map[string]any{
			{
				"name":                "redeem",
				"availability-budget": 1,
				"max-hosts":           4,
				"favour":              "shares",
			},
		},
		"queues": []map[string]any{
			{
				"name": "redeem",
				"kind": "requests",
				"pool": "redeem",
			},
			{
				"name": "balance",
				"kind": "requests",
				"pool": "redeem",
				"open": true,
			},
			{
				"name": "redeem-jobs",
				"kind": "jobs",
				"pool": "redeem",
			},
		},
		"contracts": []map[string]any{
			{
				"customer": "qhapaq",
				"teams": []map[string]any{
					{
						"name":                "markets",
						"share":               1,
						"request-rate":        "1000/s",
						"request-concurrency": 100,
						"queues":              []string{"redeem", "balance", "redeem-jobs"},
					},
				},
			},
		},
		"keys": []map[string]any{
			{
				"id":     "operator",
				"role":   "operator",
				"sha256": operator.HashKey(c.operatorKey),
			},
			{
				"id":     "markets",
				"role":   "submitter",
				"team":   "markets",
				"sha256": operator.HashKey(c.teamKey),
			},
		},
	}
}

func (c *cluster) write(path string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) start(h *process) {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	h.cmd = exec.Command(binary, "serve", "--config", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// kill ends a process at once and waits for its end.
func (c *cluster) kill(h *process) {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

func (c *cluster) signal(h *process, s syscall.Signal) {
	c.t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// eventually waits until the condition holds.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, h := range c.hosts {
		log, _ := os.ReadFile(filepath.Join(c.folder, h.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		c.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
	c.t.Fatalf("%s did not happen within %s", what, patience)
}

// upstreams starts one upstream for each queue, with the given mean time of a request.
func (c *cluster) upstreams(service time.Duration) {
	c.t.Helper()
	var urls []string
	for _, h := range c.hosts {
		urls = append(urls, h.url)
	}
	for i, queue := range []string{"redeem", "balance"} {
		u, err := emulator.NewUpstream(emulator.UpstreamOptions{
			ID:         "u-" + queue,
			Queue:      queue,
			DataCentre: "dc-1",
			Slots:      8,
			Service:    service,
			EntryHosts: urls[i:],
			Ledger:     c.ledger,
			Clock:      timer.System(),
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(u.Kill)
	}
}

// send sends one request to a queue through one entry host.
func (c *cluster) send(h *process, queue, operation string) (int, string) {
	request := c.client.R().SetHeader(emulator.OperationHeader, operation).SetBody(operation)
	if queue == "redeem" {
		request.SetAuthToken(c.teamKey)
	}
	if operation != "" {
		request.SetHeader("Idempotency-Key", operation)
	}
	response, err := request.Post(h.url + "/q/" + queue + "/")
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode(), response.String()
}

// serves reports whether a request to the queue is answered.
func (c *cluster) serves(h *process, queue string) bool {
	status, _ := c.send(h, queue, "")
	return status == http.StatusOK
}

// awaitUnready returns when the host tells the load balancer to stop.
func (c *cluster) awaitUnready(h *process) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := c.client.R().Get(h.url + "/readyz")
		if err != nil || response.IsError() {
			return
		}
	}
}

// status returns what an entry host tells operators.
func (c *cluster) status(h *process) (operator.Status, bool) {
	var status operator.Status
	response, err := c.client.R().SetAuthToken(c.operatorKey).SetResult(&status).Get(h.url + "/v1/status")
	return status, err == nil && response.IsSuccess()
}

// ready waits until all entry hosts know of each other.
func (c *cluster) ready() {
	c.t.Helper()
	for _, h := range c.hosts {
		c.eventually(h.name+" knows the whole view", func() bool {
			status, ok := c.status(h)
			return ok && len(status.EntryHosts) == hostCount
		})
	}
}

// setZone takes a data centre out or back through one entry host, as a careful
// operator does: an open outcome is resent with the same operation ID.
func (c *cluster) setZone(h *process, name, state, operation string) {
	c.t.Helper()
	c.eventually("zone "+name+" "+state, func() bool {
		status, ok := c.status(h)
		if !ok {
			return false
		}
		for _, z := range status.Zones {
			if z.Name == name && z.State == state {
				return true
			}
			if z.Name == name {
				c.post(h, "/v1/zones/"+name+"/"+state, operation, z.Revision)
			}
		}
		return false
	})
}

func (c *cluster) post(h *process, path, operation string, revision uint64) (int, operator.Answer) {
	var answer operator.Answer
	response, err := c.client.R().SetAuthToken(c.operatorKey).SetResult(&answer).SetBody(map[string]any{
		"operation-id": operation,
		"revision":     revision,
	}).Post(h.url + path)
	if err != nil {
		return 0, answer
	}
	return response.StatusCode(), answer
}

// zone returns the state of a data centre on an entry host.
func (c *cluster) zone(h *process, name string) string {
	status, _ := c.status(h)
	for _, z := range status.Zones {
		if z.Name == name {
			return z.State
		}
	}
	return ""
}

// leader returns the entry host that leads.
func (c *cluster) leader() *process {
	c.t.Helper()
	var found *process
	c.eventually("a leader", func() bool {
		for _, h := range c.hosts {
			if h.cmd == nil {
				continue
			}
			response, err := c.client.R().Get(h.url + "/metrics")
			if err == nil && strings.Contains(response.String(), "\nheathermux_leader 1\n") {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// others returns the running entry hosts but one.
func (c *cluster) others(than *process) []*process {
	var list []*process
	for _, h := range c.hosts {
		if h != than && h.cmd != nil {
			list = append(list, h)
		}
	}
	return list
}

// stop asks for a planned stop and returns its exit error.
func (c *cluster) stop(ctx context.Context, h *process) error {
	c.signal(h, syscall.SIGTERM)
	done := make(chan error, 1)
	cmd := h.cmd
	h.cmd = nil
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		_ = cmd.Process.Kill()
		return ctx.Err()
	}
}
