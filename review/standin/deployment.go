package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	internalPort = 17000
	controlPort  = 18345
	frontPort    = 18340
	readyPort    = 18343
	minionPort   = 18080
	cloudPort    = 18344
)

const (
	program = "target/heathermux-platform"
	// graceTime is the setting bounds.grace_s.
	graceTime = 6 * time.Second
	// downTime is how long a process that was killed is down.
	downTime = 3 * time.Second
	// readyTimeout bounds the wait for the first leader.
	readyTimeout = 20 * time.Second
	coreCount    = 3
	minionCount  = 6
)

// zones are the data centres; core machine i is in zones[i].
var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment: three core machines, a front, six minions and the
// platform's list of machines. All addresses are loopback addresses.
type deployment struct {
	rec     *record
	dir     string
	prefix  string
	cores   []*node
	front   *node
	minions []*minion
	cloud   *http.Server
	// closing is closed when the case is over; restarts are the restarts under way.
	closing  chan struct{}
	restarts sync.WaitGroup
}

// node is one process of the system under test.
type node struct {
	name, role, ip, zone string

	// started is true once the process has been started for the first time.
	started bool
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (n *node) control() string { return fmt.Sprintf("%s:%d", n.ip, controlPort) }

// newDeployment starts all processes and stand-ins.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec:     rec,
		dir:     dir,
		closing: make(chan struct{}),
	}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	if err := d.choosePrefix(); err != nil {
		return err
	}
	if err := d.startCloud(); err != nil {
		return err
	}
	var controls []string
	for i := range coreCount {
		d.cores = append(d.cores, &node{
			name: fmt.Sprintf("core-%s-1", zones[i]),
			role: "core",
			ip:   fmt.Sprintf("%s.%d", d.prefix, 1+i),
			zone: zones[i],
		})
		controls = append(controls, d.cores[i].control())
	}
	d.front = &node{
		name: "front-zone-a-1",
		role: "front",
		ip:   d.prefix + ".11",
		zone: zones[0],
	}
	for _, n := range d.nodes() {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	for i := range minionCount {
		m := &minion{
			id:       fmt.Sprintf("i-%08x", rand.Uint32()),
			service:  serviceName,
			zone:     zones[i%len(zones)],
			rack:     fmt.Sprintf("r-%d", i%len(zones)),
			address:  fmt.Sprintf("%s.%d:%d", d.prefix, 21+i, minionPort),
			controls: controls,
			rec:      d.rec,
		}
		var err error
		if m.link, err = newLink(m.address); err != nil {
			return err
		}
		startMinion(m)
		d.minions = append(d.minions, m)
	}
	return nil
}

// choosePrefix chooses the first three numbers of the addresses so that the ports are free.
func (d *deployment) choosePrefix() error {
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{internalPort, internalPort + 1, controlPort, frontPort, readyPort, minionPort, cloudPort} {
			for _, host := range []int{1, 2, 3, 11, 21, 26, 99} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

// startNode writes the settings of a process and starts it with the command of the deploy
// file.
func (d *deployment) startNode(n *node) error {
	lines := []string{
		"node=" + n.name, "role=" + n.role, "machine_class=" + n.role, "ip=" + n.ip, "zone=" + n.zone, "region=region-1",
		fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+15),
		"seeds=" + strings.Join(d.controls(), ","), fmt.Sprintf("bootstrap=%v", !n.started),
		"limits.cpu_share=0.56", "limits.cores=1", "limits.memory_mb=280", "limits.max_fds=4096",
		"discovery=registry", "entry=vip", fmt.Sprintf("heartbeat_ms=%d", heartbeatInterval.Milliseconds()),
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		fmt.Sprintf("bounds.grace_s=%d", int(graceTime.Seconds())),
		"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		fmt.Sprintf("bounds.max_hold_ms=%d", maxHold.Milliseconds()),
		"bounds.stop_ms=400", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_slowdown=3", "bounds.notice_ms=4500",
		"bounds.move_s=1.5", "bounds.maintenance_s=2", "bounds.require_fencing=false", "bounds.lease_ms=3000",
		"config_mode=highest", "control_mode=invoke",
		fmt.Sprintf("cloud.address=%s.99:%d", d.prefix, cloudPort), "cloud.rate_per_s=64.0", "cloud.duty_per_s=64.0",
	}
	if n.role == "core" {
		lines = append(lines, "serves=control", "listen.control="+n.control(), "data_dir="+filepath.Join(d.dir, n.name))
	} else {
		lines = append(lines, "serves=front", fmt.Sprintf("listen.front=%s:%d", n.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", n.ip, readyPort))
	}
	settings := filepath.Join(d.dir, n.name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	n.started = true
	logFile, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	n.cmd = exec.Command(program, n.role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "HEATHERMUX_BOOT=" + settings}
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd)
	d.rec.note("process started: %s as %s in %s", n.name, n.role, n.zone)
	return nil
}

// signal sends a signal to a process that this program has started.
func (d *deployment) signal(n *node, s syscall.Signal) {
	d.rec.note("signal to %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill kills a process and starts it again after downTime.
func (d *deployment) kill(n *node) {
	d.signal(n, syscall.SIGKILL)
	d.restarts.Go(func() {
		<-n.exited
		select {
		case <-d.closing:
			return
		case <-time.After(downTime):
		}
		if err := d.startNode(n); err != nil {
			d.rec.note("%s couldn't be started again: %v", n.name, err)
		}
	})
}

// nodes returns all processes of the system under test.
func (d *deployment) nodes() []*node { return append(d.cores[:len(d.cores):len(d.cores)], d.front) }

// startCloud serves the platform's list of machines. All are up and in the only pool, so
// nothing is to be ordered of it.
func (d *deployment) startCloud() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.99:%d", d.prefix, cloudPort))
	if err != nil {
		return err
	}
	d.cloud = &http.Server{
		Handler:           http.HandlerFunc(d.serveCloud),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = d.cloud.Serve(listener) }()
	return nil
}

func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		d.rec.note("platform: unexpected call %s %s", r.Method, r.URL.Path)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machines := []map[string]any{}
	for i, m := range d.minions {
		machines = append(machines, map[string]any{
			"machine": fmt.Sprintf("m-%d", i),
			"pool":    m.service,
			"state":   "up",
			"zone":    m.zone,
			"id":      m.id,
			"labels":  []string{"a", m.rack},
			"capacity": map[string]int64{
				"cpu":    minionCPU,
				"mem_mb": minionMemMB,
				"gpu":    0,
			},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"machines":        machines,
		"next_page_token": "",
	})
}

// close ends everything that this program has started, and removes its folder.
func (d *deployment) close() {
	close(d.closing)
	d.restarts.Wait()
	for _, n := range d.nodes() {
		if n == nil || n.cmd == nil || n.exited == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range d.nodes() {
		if n == nil || n.exited == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-time.After(graceTime):
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	for _, m := range d.minions {
		m.cancel()
		_ = m.link.server.Close()
	}
	if d.cloud != nil {
		_ = d.cloud.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// leader returns the core machine that the minions were told to send heartbeats to.
func (d *deployment) leader(ctx context.Context) (*node, error) {
	for ctx.Err() == nil {
		for _, m := range d.minions {
			for _, n := range d.cores {
				if m.namedAddress() == n.control() {
					return n, nil
				}
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil, errors.New("no leader was named")
}

// follower returns a core machine that doesn't lead.
func (d *deployment) follower(ctx context.Context) (*node, error) {
	leader, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range d.cores {
		if n != leader {
			return n, nil
		}
	}
	return nil, errors.New("there is no follower")
}

// othersThan returns the control addresses of the core machines but one.
func (d *deployment) othersThan(n *node) []string {
	var addresses []string
	for _, other := range d.cores {
		if other != n {
			addresses = append(addresses, other.control())
		}
	}
	return addresses
}

// controls returns the control addresses of all core machines.
func (d *deployment) controls() []string { return d.othersThan(nil) }

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
