package cassiaworker

import (
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTasksRunAtTheSameTimeOnFewGoroutines guards against a task that waits for another one's end, and against goroutines that are not
// used again or not bounded.
func TestTasksRunAtTheSameTimeOnFewGoroutines(t *testing.T) {
	c := qt.New(t)
	var w Workers
	before := runtime.NumGoroutine()
	for range 20 {
		const tasks = 2 * maxIdle
		var started, ended sync.WaitGroup
		started.Add(tasks)
		ended.Add(tasks)
		for range tasks {
			w.Go(func() {
				started.Done()
				started.Wait()
				ended.Done()
			})
		}
		ended.Wait()
	}
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine()-before > maxIdle && time.Now().Before(deadline); {
		runtime.Gosched()
	}
	c.Check(runtime.NumGoroutine()-before, qt.Equals, maxIdle)
}
