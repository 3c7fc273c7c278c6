package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/platform/standin"
)

// grace is how long a process may take to end after SIGTERM before it is killed.
const grace = 6 * time.Second

// process is a program of the system under test, run as a separate process. It is
// not safe for concurrent use.
type process struct {
	name, role, ip string
	dir            string
	program        string
	arguments      []string
	settings       string
	cmd            *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// stopping is true from a signal that ends the process until the next start.
	stopping atomic.Bool
	// exitedByItself is called if the process exits without such a signal.
	exitedByItself func(p *process, state *os.ProcessState)
	// disrupted is true while a fault keeps the process stopped or frozen.
	disrupted bool
}

// start writes the settings and starts the program. Its output is appended to a log
// file in dir.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soaker: open log")
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.program, append([]string{p.role}, p.arguments...)...)
	p.cmd.Env = append(os.Environ(), "HEATHERMUX_BOOT="+p.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "soaker: start "+p.name)
	}
	p.exited = make(chan struct{})
	p.stopping.Store(false)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		if !p.stopping.Load() {
			p.exitedByItself(p, cmd.ProcessState)
		}
		close(exited)
	}(p.cmd, p.exited)
	// Only the first start bootstraps the system.
	p.settings = strings.Replace(p.settings, "bootstrap=true", "bootstrap=false", 1)
	return nil
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name+".conf") }

func (p *process) writeSettings() error {
	return errors.Wrap(os.WriteFile(p.settingsPath(), []byte(p.settings), 0o600), "soaker: write settings")
}

// setSeeds writes the settings with other seeds.
func (p *process) setSeeds(seeds []string) error {
	lines := strings.Split(p.settings, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds=") {
			lines[i] = "seeds=" + strings.Join(seeds, ",")
		}
	}
	p.settings = strings.Join(lines, "\n")
	return p.writeSettings()
}

// signal ignores errors: the process may have exited already.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process, frozen or not, and waits until it has exited.
func (p *process) kill() {
	p.stopping.Store(true)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate asks the process to end and waits until it has exited. It kills the process
// if that takes longer than the grace period.
func (p *process) terminate(gracePeriod time.Duration) {
	p.stopping.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

// settingsText returns the content of the settings file for a machine's process.
// provider is the address of the emulated cloud provider.
func settingsText(m machine, seeds []string, dir string, provider string) string {
	lines := []string{
		"node=" + m.name,
		"ip=" + m.ip,
		"zone=" + m.zone,
		fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+5),
		"seeds=" + strings.Join(seeds, ","),
		"bootstrap=true",
		"limits.memory_mb=280",
		"fault_tolerance.machines=1",
		"cloud.address=" + provider,
		fmt.Sprintf("heartbeat_ms=%d", standin.HeartbeatInterval.Milliseconds()),
		"bounds.max_hold_ms=10000",
		"bounds.lease_ms=3000",
		fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())),
		"bounds.notice_ms=4500",
		"bounds.gang_timeout_ms=3000",
		"bounds.remote_slowdown=2",
	}
	if m.role == roleCore {
		lines = append(lines, "listen.control="+m.control(), "data_dir="+filepath.Join(dir, "data-"+m.name))
	} else {
		lines = append(lines, "listen.front="+m.front(), "listen.ready="+fmt.Sprintf("%s:%d", m.ip, readyPort))
	}
	return strings.Join(lines, "\n") + "\n"
}
