package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = playLeavingCallers }

const (
	leaveEach    = 5
	leaveFor     = 5 * time.Second
	leavePause   = 3 * time.Second
	leaveWindows = 4
	lookupsPerS  = 22
	lookupWork   = 300 * time.Millisecond
	// leaveAfter is half of the lookups' desired latency.
	leaveAfter = 200 * time.Millisecond
)

// startLookupTarget starts a target that answers each request after lookupWork, and records a run when it ends.
func startLookupTarget(d *deployment, id, service, zone string) {
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // it ends with the process
		request := r.Header.Get("X-Cassiasaddle-Request-Id")
		d.record("runBegins", "target", id, "request", request)
		timer := time.NewTimer(lookupWork)
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
	d.register(id, service, listener.Addr().String(), zone, 3)
}

// playLeavingCallers sends lookups of which some callers give up: they close their sending side and read what still comes.
func playLeavingCallers(d *deployment) bool {
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range 5 {
		startLookupTarget(d, fmt.Sprintf("i-%d", i), "askrift", zones[i%len(zones)])
	}
	d.configure([]map[string]any{route("order-look", "/look/", "idempotent", "askrift")}, "askrift")
	var vms []*vm
	for i, zone := range zones {
		vms = append(vms, d.startVM(fmt.Sprintf("front-%d", i), zone, ""))
	}
	var leaving atomic.Bool
	go func() {
		for range leaveWindows {
			time.Sleep(leavePause)
			leaving.Store(d.trouble)
			d.record("leavingBegins")
			time.Sleep(leaveFor)
			leaving.Store(false)
			d.record("leavingEnds")
		}
	}()
	var sent, left, whole, wrong atomic.Int64
	ticker := time.NewTicker(time.Second / lookupsPerS)
	defer ticker.Stop()
	var requests sync.WaitGroup
	for end := time.Now().Add(leaveWindows * (leaveFor + leavePause)); time.Now().Before(end); <-ticker.C {
		n := sent.Add(1)
		leaves := leaving.Load() && n%leaveEach == 0
		requests.Add(1)
		go func() {
			defer requests.Done()
			id, target := fmt.Sprintf("look-%d", n), vms[int(n)%len(vms)]
			status, stamp, body, err := lookUp(d, target, id, leaves)
			if leaves {
				left.Add(1)
			}
			verdict := "none"
			switch {
			case err == nil && status/100 == 2 && stamp == "":
				verdict = "MIXED"
				wrong.Add(1)
			case err == nil && status/100 == 2:
				verdict = "whole"
				whole.Add(1)
			}
			d.record("answered", "request", id, "left", leaves, "status", status, "stamp", stamp, "bytes", body, "error", err, "verdict", verdict)
		}()
	}
	requests.Wait()
	if whole.Load() < sent.Load()/2 {
		panic("most requests were not served")
	}
	summary := []any{"sent", sent.Load(), "left", left.Load(), "whole", whole.Load(), "successesWithoutStamp", wrong.Load()}
	d.record("summary", summary...)
	fmt.Println(summary...)
	return wrong.Load() > 0
}

// lookUp sends one lookup. A caller that leaves ends its side of the connection after leaveAfter and reads the rest until its end.
func lookUp(d *deployment, target *vm, id string, leaves bool) (status int, stamp string, bytes int, err error) {
	c, err := net.Dial("tcp", target.address)
	if err != nil {
		return 0, "", 0, err
	}
	defer c.Close()
	d.record("sent", "request", id, "vm", target.name)
	fmt.Fprintf(c, "GET /look/one HTTP/1.1\r\nHost: %s\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Deadline-Ms: 4000\r\n\r\n", host, id)
	if leaves {
		time.Sleep(leaveAfter)
		d.record("leaves", "request", id)
		c.(*net.TCPConn).CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", 0, err
	}
	body, err := io.ReadAll(reply.Body)
	return reply.StatusCode, reply.Header.Get("X-Cassiasaddle-Server-Stamp"), len(body), err
}
