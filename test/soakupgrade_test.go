package test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var soakProduction = flag.String("soak.production", "",
	"a commit: TestSoak starts its VMs with this version and replaces them one by one with the current one, for even seeds back again")

const (
	frontProgram = "cassiafront"
	// upgradeFrom is the commit whose version TestUpgrade replaces, upgradeSeed its seed, which is even.
	upgradeFrom = "687d685"
	upgradeSeed = 2
	// soakReplacementPause is the time between two replacements, so that requests meet each mixture of versions.
	soakReplacementPause = 300 * time.Millisecond
)

// TestUpgrade replaces all VMs with the current version and with the earlier one again, while faults are injected.
func TestUpgrade(t *testing.T) {
	if err := exec.Command("git", "cat-file", "-e", upgradeFrom+"^{commit}").Run(); err != nil {
		t.Skipf("the history has no %s: %v", upgradeFrom, err)
	}
	t.Parallel()
	newSoak(t, upgradeSeed, upgradeFrom).run()
}

// earlierFronts holds a function for each commit that builds its cassiafront, once.
var earlierFronts sync.Map

// earlierFront returns cassiafront of a commit of this repository as a program in binaryDir.
func earlierFront(t *testing.T, commit string) string {
	program := filepath.Join(commit, frontProgram)
	build, _ := earlierFronts.LoadOrStore(commit, sync.OnceValue(func() error { return buildFront(commit, filepath.Join(binaryDir, program)) }))
	qt.Assert(t, build.(func() error)(), qt.IsNil)
	return program
}

// buildFront builds cassiafront of a commit from this repository's history.
func buildFront(commit, program string) error {
	source, err := os.MkdirTemp("", "cassiasaddle-"+commit)
	if err != nil {
		return err
	}
	defer os.RemoveAll(source) //nolint:errcheck // the system removes old temporary files
	for _, command := range [][]string{
		{"git", "clone", "--quiet", "--shared", "--no-checkout", "..", source},
		{"git", "-C", source, "checkout", "--quiet", commit},
		{"go", "build", "-C", source, "-o", program, "./cmd/cassiafront"},
	} {
		if output, err := exec.Command(command[0], command[1:]...).CombinedOutput(); err != nil {
			return fmt.Errorf("%v: %w: %s", command, err, output)
		}
	}
	return nil
}

// upgrade replaces all VMs with the current version, and for even seeds with the earlier one again.
func (s *soak) upgrade(earlier string) {
	s.replaceVMs(frontProgram)
	if s.seed%2 == 0 {
		s.replaceVMs(earlier)
	}
}

// replaceVMs stops one VM after the other as planned and starts it with another program. It waits for faults that act on a VM.
func (s *soak) replaceVMs(program string) {
	for _, vm := range s.vms {
		for !vm.tryAcquire() {
			vm.release()
			sleep(soakFailurePause)
		}
		number := s.recordDisturbance(disturbance{kind: "stop", affected: vm.name, from: time.Since(s.start), to: time.Hour})
		vm.terminate(syscall.SIGTERM)
		vm.setProgram(program)
		s.startVM(vm)
		s.endDisturbance(number)
		vm.release()
		s.awaitReady(vm)
		sleep(soakReplacementPause)
	}
}

// awaitReady waits until a VM is ready, for at most soakMaxRecovery: faults may keep it from that.
func (s *soak) awaitReady(vm *soakVM) {
	for end := time.Now().Add(soakMaxRecovery); !vm.isReady() && time.Now().Before(end); {
		sleep(soakFailurePause)
	}
}

// setProgram sets the program that the next start of the VM runs.
func (v *soakVM) setProgram(program string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.program = program
}
