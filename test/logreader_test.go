package test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// startUnread starts a program whose output nobody reads, and returns a function that stops it and reports whether it ended in time.
func startUnread(t *testing.T, program string, arguments ...string) (stop func(grace time.Duration) bool) {
	t.Helper()
	c := qt.New(t)
	unread, output, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	command := exec.Command(filepath.Join(binaryDir, program), arguments...)
	command.Stdout, command.Stderr = output, output
	c.Assert(command.Start(), qt.IsNil)
	c.Assert(output.Close(), qt.IsNil)
	exited := make(chan struct{})
	go func() { //nolint:revive // it ends with the process
		defer close(exited)
		command.Wait() //nolint:errcheck // the caller asks whether it ended
	}()
	t.Cleanup(func() {
		command.Process.Kill() //nolint:errcheck // it may have ended
		<-exited
		unread.Close() //nolint:errcheck // nothing was read
	})
	return func(grace time.Duration) bool {
		command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
		select {
		case <-exited:
			return true
		case <-time.After(grace):
			return false
		}
	}
}

// TestFrontServesAndStopsWhileNobodyReadsItsLogs guards against a VM that waits for a reader of its output.
func TestFrontServesAndStopsWhileNobodyReadsItsLogs(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 1)
	vm := e.vm(0)
	// The same VM again, with nobody reading.
	vm.process.signal(syscall.SIGKILL)
	<-vm.process.exited
	stop := startUnread(t, "cassiafront", "--settings", vm.settingsFile)
	e.eventually(vm.isReady, "the VM is not ready")
	begun := time.Now()
	var callers errgroup.Group
	for caller := range 8 {
		callers.Go(func() error {
			for i := caller; time.Since(begun) < 6*time.Second; i += 8 {
				if answer, _, err := e.do(vm, http.MethodGet, fmt.Sprintf("/one/%d", i), ""); err != nil || answer.status != http.StatusOK {
					return fmt.Errorf("request %d: status %d, error %w", i, answer.status, err)
				}
			}
			return nil
		})
	}
	e.c.Check(callers.Wait(), qt.IsNil)
	const grace = 6 * time.Second
	e.c.Check(stop(grace), qt.IsTrue, qt.Commentf("the VM does not end within its grace"))
}

// TestServeAnswersAndStopsWhileNobodyReadsItsLogs guards against the same in cassiasaddle serve.
func TestServeAnswersAndStopsWhileNobodyReadsItsLogs(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(4))
	v := cl.vms[0]
	v.process.signal(syscall.SIGKILL)
	<-v.process.exited
	stop := startUnread(t, "cassiasaddle", "serve", "--config", v.config)
	eventually(t, waitTimeout, "the VM is ready", func() bool { return cl.status(v).Ready })
	begun := time.Now()
	var callers errgroup.Group
	for caller := range 8 {
		callers.Go(func() error {
			for i := caller; time.Since(begun) < 5*time.Second; i += 8 {
				if a, err := tryQuery(v, "search", fmt.Sprintf(`{"n":%d}`, i)); err != nil || a.Coverage.Answered != 4 {
					return fmt.Errorf("query %d: status %d, error %w", i, a.Status, err)
				}
			}
			return nil
		})
	}
	c.Check(callers.Wait(), qt.IsNil)
	c.Check(stop(waitTimeout), qt.IsTrue, qt.Commentf("the VM does not end"))
}
