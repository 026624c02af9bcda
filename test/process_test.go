package test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// waitTimeout limits the wait for a process or a condition, and is long enough for a busy machine.
const waitTimeout = 20 * time.Second

// binaryDir is the directory of the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "cassiasaddle-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaryDir = directory
	build := exec.Command("go", "build", "-o", directory+"/", "../cmd/cassiasaddle", "../cmd/cassiastandin", "../cmd/cassiafront")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	recordStalls(ctx, &group)
	defer group.Wait() //nolint:errcheck // it returns no error
	defer stop()
	return m.Run()
}

// process is a program that was started, and its output.
type process struct {
	command *exec.Cmd
	output  lockedBuffer
	waiter  errgroup.Group
	exited  chan struct{}
}

// start starts a program of this repository. It is killed at the end of the test if it still runs.
func start(t testing.TB, program string, arguments ...string) *process {
	t.Helper()
	p := &process{}
	p.run(t, &p.output, program, arguments...)
	return p
}

// run starts a program whose output goes to a writer.
func (p *process) run(t testing.TB, output io.Writer, program string, arguments ...string) {
	t.Helper()
	p.command, p.exited = exec.Command(filepath.Join(binaryDir, program), arguments...), make(chan struct{})
	p.command.Stdout, p.command.Stderr = output, output
	qt.Assert(t, p.command.Start(), qt.IsNil)
	p.waiter.Go(func() error {
		defer close(p.exited)
		return p.command.Wait()
	})
	t.Cleanup(func() {
		ended := p.endOf()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.waiter.Wait() //nolint:errcheck // a killed process exits with an error
		if t.Failed() {
			t.Logf("output of %s %s, which %s:\n%s", program, strings.Join(arguments, " "), ended, tail(p.output.String()))
		}
	})
}

// endOf describes how the process has ended.
func (p *process) endOf() string {
	select {
	case <-p.exited:
		return "ended with " + p.command.ProcessState.String()
	default:
		return "was running"
	}
}

const tailBytes = 12000

// tail returns the end of a program's output without the lines of answered requests, which would hide all others.
func tail(text string) string {
	lines := slices.DeleteFunc(strings.SplitAfter(text, "\n"), func(line string) bool {
		return strings.Contains(line, "event=answered") && strings.Contains(line, "status=200")
	})
	text = strings.Join(lines, "")
	if len(text) > tailBytes {
		return "..." + text[len(text)-tailBytes:]
	}
	return text
}

// waitReady waits for the line "ready", which a stand-in prints once it listens.
func (p *process) waitReady(t testing.TB) *process {
	t.Helper()
	eventually(t, waitTimeout, "ready line", func() bool {
		scanner := bufio.NewScanner(strings.NewReader(p.output.String()))
		for scanner.Scan() {
			if scanner.Text() == "ready" {
				return true
			}
		}
		return false
	})
	return p
}

// signal sends a signal to the process, unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintln(os.Stderr, "signal:", err)
		}
	}
}

// wait waits until the process exits and returns its exit status. It fails the test after the limit.
func (p *process) wait(t testing.TB, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatalf("%s did not exit within %v", p.command.Path, limit)
		return -1
	}
}

// peakMemory returns the most memory in bytes that a running process has held.
func (p *process) peakMemory(t testing.TB) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	t.Fatal("the process reports no peak memory")
	return 0
}

// runCommand runs a program until it exits and returns its exit status and output.
func runCommand(t testing.TB, program string, arguments ...string) (int, string) {
	t.Helper()
	p := start(t, program, arguments...)
	status := p.wait(t, waitTimeout)
	return status, p.output.String()
}

// eventually polls a condition until it holds, and fails the test after the limit.
func eventually(t testing.TB, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

const (
	// firstTestPort and testPorts are the range of freeAddress, below the ports that the system assigns to connections.
	firstTestPort, testPorts = 10_000, 20_000
	// testPortStride is the distance between the first ports of processes that were started one after the other.
	testPortStride = 997
)

// assignedPorts counts the ports that freeAddress has tried.
var assignedPorts atomic.Int64

// freeAddress returns a loopback address whose port was free for TCP and UDP a moment ago. No port is tried twice, so that looking for one
// never occupies another one that was returned before and that no process listens on yet.
func freeAddress(t testing.TB, host string) string {
	t.Helper()
	for range testPorts {
		port := firstTestPort + (int64(os.Getpid())*testPortStride+assignedPorts.Add(1))%testPorts
		address := net.JoinHostPort(host, fmt.Sprint(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp", address)
		qt.Assert(t, listener.Close(), qt.IsNil)
		if err != nil {
			continue
		}
		qt.Assert(t, socket.Close(), qt.IsNil)
		return address
	}
	t.Fatal("found no port that is free for both TCP and UDP")
	return ""
}

// lockedBuffer is a buffer that a process writes to while the test reads it.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

var _ io.Writer = (*lockedBuffer)(nil)

func (b *lockedBuffer) Write(part []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(part)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}
