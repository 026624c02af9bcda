package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["1"] = playBrokenOffAnswers }

const (
	// segmentBytes is the segment size of an Ethernet link, windowBytes the receive buffer of a target with a small window.
	segmentBytes = 1460
	windowBytes  = 32 << 10
	answerBytes  = 2048
	orderBytes   = 250_000

	garbleEach    = 20
	garbleFor     = 5 * time.Second
	garblePause   = 2500 * time.Millisecond
	garbleWindows = 10
	ordersPerS    = 40
)

// earlyTarget answers before it has read a long body, without a length, and then reads the rest of the body.
type earlyTarget struct {
	d       *deployment
	id      string
	garbles bool

	garbling atomic.Bool
	answers  atomic.Int64
	resets   atomic.Int64
}

func newEarlyTarget(d *deployment, id, service, zone string, garbles bool) *earlyTarget {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	t := &earlyTarget{d: d, id: id, garbles: garbles}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	d.register(id, service, listener.Addr().String(), zone, 3)
	return t
}

// wholeAnswer returns the body of a target's answer to a request.
func wholeAnswer(target, id string) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%-64s", target+" "+id)), answerBytes/64)
}

func (t *earlyTarget) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := r.Header.Get("X-Cassiasaddle-Request-Id")
	if expected := r.Header.Get("X-Cassiasaddle-Expect-Instance"); expected != "" && expected != t.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	whole := wholeAnswer(t.id, id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Server-Stamp: stamp-%s-%s\r\nConnection: close\r\n\r\n", id, t.id, id)
	c.Write(whole[:answerBytes/2])
	if t.garbling.Load() && t.answers.Add(1)%garbleEach == 0 {
		t.resets.Add(1)
		t.d.record("run", "target", t.id, "request", id, "answer", "broken off by a reset", "sent", answerBytes/2, "of", answerBytes)
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	c.Write(whole[answerBytes/2:])
	t.d.record("run", "target", t.id, "request", id, "answer", "whole", "bodyRead", n, "error", err)
}

// playBrokenOffAnswers sends orders with long bodies while targets break off a few of their answers.
func playBrokenOffAnswers(d *deployment) bool {
	zones := []string{"z-a", "z-b", "z-c"}
	var targets []*earlyTarget
	for i := range 4 {
		targets = append(targets, newEarlyTarget(d, fmt.Sprintf("i-%d", i), "askrift", zones[i%len(zones)], i%2 == 0))
	}
	d.configure([]map[string]any{route("order", "/order/", "non_idempotent", "askrift")}, "askrift")
	var vms []*vm
	for i, zone := range zones {
		vms = append(vms, d.startVM(fmt.Sprintf("front-%d", i), zone, ""))
	}
	go func() {
		for range garbleWindows {
			time.Sleep(garblePause)
			d.record("garbleBegins")
			for _, t := range targets {
				t.garbling.Store(d.trouble && t.garbles)
			}
			time.Sleep(garbleFor)
			for _, t := range targets {
				t.garbling.Store(false)
			}
			d.record("garbleEnds")
		}
	}()
	var sent, whole, failed, wrong atomic.Int64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	ticker := time.NewTicker(time.Second / ordersPerS)
	defer ticker.Stop()
	var requests sync.WaitGroup
	for end := time.Now().Add(garbleWindows * (garbleFor + garblePause)); time.Now().Before(end); <-ticker.C {
		n := sent.Add(1)
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := fmt.Sprintf("order-%d", n)
			target := vms[int(n)%len(vms)]
			d.record("sent", "request", id, "vm", target.name)
			r, _ := http.NewRequest(http.MethodPost, "http://"+target.address+"/order/new", bytes.NewReader(make([]byte, orderBytes)))
			r.Host = host
			r.Header.Set("X-Cassiasaddle-Request-Id", id)
			r.Header.Set("X-Cassiasaddle-Deadline-Ms", "4000")
			reply, err := client.Do(r)
			if err != nil {
				failed.Add(1)
				d.record("answered", "request", id, "error", err)
				return
			}
			defer reply.Body.Close()
			body, err := io.ReadAll(reply.Body)
			stamp := reply.Header.Get("X-Cassiasaddle-Server-Stamp")
			verdict := "failure"
			if reply.StatusCode/100 == 2 {
				verdict = "whole"
				by := strings.TrimSuffix(strings.TrimPrefix(stamp, "stamp-"), "-"+id)
				if err == nil && !bytes.Equal(body, wholeAnswer(by, id)) {
					verdict = "MIXED"
				}
			}
			d.record("answered", "request", id, "status", reply.StatusCode, "stamp", stamp, "bytes", len(body), "error", err, "verdict", verdict)
			switch verdict {
			case "whole":
				whole.Add(1)
			case "MIXED":
				wrong.Add(1)
			default:
				failed.Add(1)
			}
		}()
	}
	requests.Wait()
	resets := int64(0)
	for _, t := range targets {
		resets += t.resets.Load()
	}
	if whole.Load() < sent.Load()/2 {
		panic("most requests were not served")
	}
	summary := []any{"sent", sent.Load(), "brokenOff", resets, "whole", whole.Load(), "failed", failed.Load(), "successesWithPartOfTheBody", wrong.Load()}
	d.record("summary", summary...)
	fmt.Println(summary...)
	return wrong.Load() > 0
}
