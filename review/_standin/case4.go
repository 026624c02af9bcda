package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["4"] = playRestartUnderLoad }

const (
	// reportWork is the work of a request; the route's target latency is 400 ms and its time limit 4 s.
	reportWork       = 800 * time.Millisecond
	reportSlots      = 3
	targetsPerZone   = 3
	quietFor         = 15 * time.Second
	quietPerS        = 3
	busyFor          = 12 * time.Second
	busyPerS         = 18
	downFor          = time.Second
	recovery         = 12 * time.Second
	observedRecovery = 12 * time.Second
)

// startWorkingTarget starts a target that runs a few requests at a time and queues some more. It drops one whose connection has closed.
func startWorkingTarget(d *deployment, id, service, zone string, work time.Duration) {
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	slots := make(chan struct{}, reportSlots)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // it ends with the process
		request := r.Header.Get("X-Cassiasaddle-Request-Id")
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		d.record("runBegins", "target", id, "request", request)
		timer := time.NewTimer(work - work/10 + time.Duration(rand.Int64N(int64(work/5))))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			d.record("runDropped", "target", id, "request", request)
			return
		}
		d.record("run", "target", id, "request", request)
		w.Header().Set("X-Cassiasaddle-Request-Id", request)
		w.Header().Set("X-Cassiasaddle-Server-Stamp", "stamp-"+id+"-"+request)
		w.Write(wholeAnswer(id, request)) //nolint:errcheck // the VM may have left
	}))
	d.register(id, service, listener.Addr().String(), zone, reportSlots)
}

// tally counts the requests of a phase, and those that were served.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(1, t.sent.Load())) }

// playRestartUnderLoad kills all VMs while the usual load goes on, and starts them again.
func playRestartUnderLoad(d *deployment) bool {
	zones := []string{"z-a", "z-a", "z-a"}
	for i := range targetsPerZone * len(zones) {
		startWorkingTarget(d, fmt.Sprintf("i-%d", i), "askrift", zones[i%len(zones)], reportWork)
	}
	d.configure([]map[string]any{route("order-look", "/look/", "idempotent", "askrift")}, "askrift")
	var vms []*vm
	for i, zone := range zones {
		vms = append(vms, d.startVM(fmt.Sprintf("front-%d", i), zone, ""))
	}
	var quiet, busy, recovering, after tally
	var requests sync.WaitGroup
	n := 0
	send := func(phase string, t *tally, perS int, until time.Time) {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		for ; time.Now().Before(until); <-ticker.C {
			n++
			number := n
			requests.Add(1)
			t.sent.Add(1)
			go func() {
				defer requests.Done()
				if lookUpWithRetry(d, vms, number, phase) {
					t.served.Add(1)
				}
			}()
		}
		d.record("phaseEnds", "phase", phase)
	}
	send("quiet", &quiet, quietPerS, time.Now().Add(quietFor))
	send("busy", &busy, busyPerS, time.Now().Add(busyFor))
	var restart sync.WaitGroup
	if d.trouble {
		restart.Add(1)
		go func() {
			defer restart.Done()
			for _, v := range vms {
				v.process.Process.Kill() //nolint:errcheck // it runs
				d.record("killed", "vm", v.name)
			}
			time.Sleep(downFor)
			for _, v := range vms {
				d.restartVM(v)
			}
		}()
	}
	send("recovering", &recovering, busyPerS, time.Now().Add(downFor+time.Second+recovery))
	restart.Wait()
	send("after", &after, busyPerS, time.Now().Add(observedRecovery))
	requests.Wait()
	before := float64(quiet.served.Load()+busy.served.Load()) / float64(quiet.sent.Load()+busy.sent.Load())
	summary := []any{"sentQuiet", quiet.sent.Load(), "servedQuiet", quiet.served.Load(), "sentBusy", busy.sent.Load(), "servedBusy", busy.served.Load(),
		"sentRecovering", recovering.sent.Load(), "servedRecovering", recovering.served.Load(), "sentAfter", after.sent.Load(), "servedAfter", after.served.Load()}
	d.record("summary", summary...)
	fmt.Println(summary...)
	if before < 0.25 {
		panic("less than a quarter was served before")
	}
	return after.share() < 0.25
}

// lookUpWithRetry sends a lookup to one VM and, after a failure, once more to another one. It reports whether it was served.
func lookUpWithRetry(d *deployment, vms []*vm, number int, phase string) bool {
	for try := range 2 {
		id, v := fmt.Sprintf("look-%d-%d", number, try), vms[(number+try)%len(vms)]
		started := time.Now()
		status, stamp, err := lookUpOnce(d, v, id)
		d.record("answered", "phase", phase, "request", id, "vm", v.name, "status", status, "stamp", stamp, "elapsed", time.Since(started).Round(time.Millisecond),
			"error", err)
		if err == nil && status == http.StatusOK && stamp != "" {
			return true
		}
	}
	return false
}

func lookUpOnce(d *deployment, v *vm, id string) (status int, stamp string, err error) {
	c, err := net.DialTimeout("tcp", v.address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	d.record("sent", "request", id, "vm", v.name)
	fmt.Fprintf(c, "GET /look/one HTTP/1.1\r\nHost: %s\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Deadline-Ms: 4000\r\n\r\n", host, id)
	c.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return reply.StatusCode, reply.Header.Get("X-Cassiasaddle-Server-Stamp"), err
}
