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

	// The tests run a program that they build. Without these imports go test would
	// use cached results although the source of that program has changed.
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
	// hostCount is the number of entry hosts. The first voterCount of them are
	// voters, in one data centre each.
	hostCount  = 4
	voterCount = 3

	// waitTimeout bounds every wait. It is far longer than any step takes, so that
	// no test fails because the machine is busy.
	waitTimeout = 60 * time.Second
)

// cluster is a deployment of real processes on loopback addresses.
type cluster struct {
	t           *testing.T
	folder      string
	hosts       []*entryHost
	operatorKey string
	teamKey     string
	client      *resty.Client
	ledger      *emulator.Ledger
}

// entryHost is the process of one entry host; cmd is nil while it doesn't run.
type entryHost struct {
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

// clusterCount is the number of clusters created by this test process.
var clusterCount atomic.Int64

// addresses returns the HTTP and the peer address of a host. Each cluster has its
// own loopback addresses, because another test may take a free port of 127.0.0.1
// before the process listens on it.
func addresses(cluster int64, host int) (httpAddress, peerAddress string) {
	const minSecondOctet, secondOctetRange = 64, 128
	ip := fmt.Sprintf("127.%d.%d.%d", minSecondOctet+os.Getpid()%secondOctetRange, cluster, host+1)
	return ip + ":8080", ip + ":7080"
}

func (c *cluster) writeFiles() {
	cluster := clusterCount.Add(1)
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
	c.writeJSON(deployment, c.deployment())
	for i, p := range peers {
		h := &entryHost{
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
		c.writeJSON(h.settings, settings)
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

func (c *cluster) writeJSON(path string, value any) {
	c.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) start(h *entryHost) {
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

// kill kills the process of an entry host, if it runs, and waits for its end.
func (c *cluster) kill(h *entryHost) {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

func (c *cluster) signal(h *entryHost, s syscall.Signal) {
	c.t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// eventually polls the condition until it holds. After waitTimeout it logs the last
// lines of each host's log and fails the test.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, h := range c.hosts {
		log, _ := os.ReadFile(filepath.Join(c.folder, h.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		c.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
	c.t.Fatalf("%s did not happen within %s", what, waitTimeout)
}

// startUpstreams starts one upstream for each queue; service is the mean service
// time of a request.
func (c *cluster) startUpstreams(service time.Duration) {
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

// send sends one request to a queue through one entry host and returns the status
// and the body. Status 0 means that no response was received; the body is then the
// error.
func (c *cluster) send(h *entryHost, queue, operation string) (int, string) {
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

// serves reports whether a request to the queue succeeds.
func (c *cluster) serves(h *entryHost, queue string) bool {
	status, _ := c.send(h, queue, "")
	return status == http.StatusOK
}

// waitUntilUnready returns when the readiness check of the host fails. After
// waitTimeout the test has failed.
func (c *cluster) waitUntilUnready(h *entryHost) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := c.client.R().Get(h.url + "/readyz")
		if err != nil || response.IsError() {
			return
		}
	}
	c.t.Errorf("%s is still ready after %s", h.name, waitTimeout)
}

// status returns the operators' status from an entry host, and whether it answered.
func (c *cluster) status(h *entryHost) (operator.Status, bool) {
	var status operator.Status
	response, err := c.client.R().SetAuthToken(c.operatorKey).SetResult(&status).Get(h.url + "/v1/status")
	return status, err == nil && response.IsSuccess()
}

// waitForFullView waits until the view of each entry host contains all of them.
func (c *cluster) waitForFullView() {
	c.t.Helper()
	for _, h := range c.hosts {
		c.eventually(h.name+" knows the whole view", func() bool {
			status, ok := c.status(h)
			return ok && len(status.EntryHosts) == hostCount
		})
	}
}

// setZone takes a data centre out of service or back through one entry host and
// waits until the host shows it. A change with an unknown outcome is resent with
// the same operation ID.
func (c *cluster) setZone(h *entryHost, name, state, operation string) {
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

func (c *cluster) post(h *entryHost, path, operation string, revision uint64) (int, operator.Answer) {
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

// zone returns the state of a data centre as an entry host knows it, or "".
func (c *cluster) zone(h *entryHost, name string) string {
	status, _ := c.status(h)
	for _, z := range status.Zones {
		if z.Name == name {
			return z.State
		}
	}
	return ""
}

// leader waits for a leader and returns its entry host.
func (c *cluster) leader() *entryHost {
	c.t.Helper()
	var found *entryHost
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

// others returns the running entry hosts except the given one.
func (c *cluster) others(excluded *entryHost) []*entryHost {
	var list []*entryHost
	for _, h := range c.hosts {
		if h != excluded && h.cmd != nil {
			list = append(list, h)
		}
	}
	return list
}

// stop requests a graceful shutdown with SIGTERM and returns the exit error. When
// ctx ends first, stop kills the process.
func (c *cluster) stop(ctx context.Context, h *entryHost) error {
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
