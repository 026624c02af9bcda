package test

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// missingReaders are the ways in which nobody reads the output of a program.
var missingReaders = []struct {
	name string
	// gone is true if the reader has closed its end.
	gone bool
}{{"the reader does not read", false}, {"the reader has gone", true}}

// startUnread starts a program whose output nobody reads.
func startUnread(t *testing.T, readerGone bool, program string, arguments ...string) *process {
	t.Helper()
	unread, output, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	if readerGone {
		qt.Assert(t, unread.Close(), qt.IsNil)
	} else {
		t.Cleanup(func() { unread.Close() }) //nolint:errcheck // nothing was read
	}
	p := &process{}
	p.run(t, output, program, arguments...)
	qt.Assert(t, output.Close(), qt.IsNil)
	return p
}

// TestFrontServesAndStopsWhileNobodyReadsItsLogs guards against a VM that waits for a reader of its output, or ends with it.
func TestFrontServesAndStopsWhileNobodyReadsItsLogs(t *testing.T) {
	t.Parallel()
	for _, reader := range missingReaders {
		t.Run(reader.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 1)
			vm := e.vm(0)
			// The same VM again, with nobody reading.
			vm.process.signal(syscall.SIGKILL)
			<-vm.process.exited
			again := startUnread(t, reader.gone, "cassiafront", "--settings", vm.settingsFile)
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
			again.signal(syscall.SIGTERM)
			const grace = 6 * time.Second
			e.c.Check(again.wait(t, grace), qt.Equals, 0)
		})
	}
}

// TestServeAnswersAndStopsWhileNobodyReadsItsLogs guards against the same in cassiasaddle serve.
func TestServeAnswersAndStopsWhileNobodyReadsItsLogs(t *testing.T) {
	for _, reader := range missingReaders {
		t.Run(reader.name, func(t *testing.T) {
			c := qt.New(t)
			cl := startCluster(t, searchLayout(4))
			v := cl.vms[0]
			v.process.signal(syscall.SIGKILL)
			<-v.process.exited
			again := startUnread(t, reader.gone, "cassiasaddle", "serve", "--config", v.config)
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
			again.signal(syscall.SIGTERM)
			c.Check(again.wait(t, waitTimeout), qt.Equals, 0)
		})
	}
}
