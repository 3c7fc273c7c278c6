package soaker_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/soaker"
)

// startScript starts a shell script as a process and returns a channel that gets a value
// if it exits by itself.
func startScript(t *testing.T, script string) (*soaker.Process, <-chan struct{}) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{}, 1)
	p := soaker.NewProcess(dir, program, func() { exited <- struct{}{} })
	if err := soaker.StartProcess(p); err != nil {
		t.Fatal(err)
	}
	return p, exited
}

// A process that doesn't end after SIGTERM would hold up the whole soak.
func TestTerminateIsBounded(t *testing.T) {
	is := is.New(t)
	p, exitedByItself := startScript(t, `trap "" TERM; echo ready > "$0.ready"; while :; do sleep 0.01; done`)
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(soaker.ProgramOf(p) + ".ready"); err == nil {
			break
		}
	}
	soaker.Terminate(p, 50*time.Millisecond)
	<-soaker.Exited(p)
	is.Equal(len(exitedByItself), 0)
}

// A process that a malformed message ends would go unseen: the others do its work.
func TestProcessThatExitsByItselfIsSeen(t *testing.T) {
	is := is.New(t)
	p, exitedByItself := startScript(t, "exit 2")
	<-soaker.Exited(p)
	is.Equal(len(exitedByItself), 1)
}
