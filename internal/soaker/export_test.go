package soaker

import "os"

// What the tests of this package need from inside it.
type (
	Ledger  = ledger
	Process = process
)

var (
	NewProxy      = newProxy
	Impair        = (*proxy).impair
	CloseProxy    = (*proxy).close
	NewRunChecker = newRunChecker
	StartProcess  = (*process).start
	Terminate     = (*process).terminate
)

// NewLedger returns the ledger of one incarnation of a worker.
func NewLedger(c *runChecker, worker string) *Ledger {
	return &ledger{
		checker: c,
		worker:  worker,
	}
}

// Violations returns the violations that the checker has found.
func Violations(c *runChecker) []string { return c.violations }

// NewProcess returns a process that runs a program.
func NewProcess(dir, program string, exitedByItself func()) *Process {
	return &process{
		name:           "process",
		dir:            dir,
		program:        program,
		exitedByItself: func(*process, *os.ProcessState) { exitedByItself() },
	}
}

// Exited returns a channel that is closed when the process has exited.
func Exited(p *Process) <-chan struct{} { return p.exited }

// ProxyAddress returns the address at which a proxy listens.
func ProxyAddress(p *proxy) string { return p.listener.Addr().String() }

// ProgramOf returns the path of the program of a process.
func ProgramOf(p *process) string { return p.program }
