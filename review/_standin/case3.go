package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["3"] = playCutDuringStorm }

const (
	addedRoutes  = 350
	cutFor       = 5500 * time.Millisecond
	stormFor     = 4390 * time.Millisecond
	stormGap     = 159 * time.Millisecond
	configApply  = 3 * time.Second
	contactTime  = 4 * time.Second
	observedFor  = 10 * time.Second
	beforeCut    = 5 * time.Second
	probesPerS   = 20
	storeHistory = 20 * time.Second
)

// cuttable passes the connections of one VM to the store on. While it is cut, it drops the bytes of both directions, and connections
// that have lost bytes stay silent.
type cuttable struct {
	address string
	cut     atomic.Bool
}

func newCuttable(target string) *cuttable {
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	p := &cuttable{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.relay(c, target)
		}
	}()
	return p
}

func (p *cuttable) relay(c net.Conn, target string) {
	defer c.Close()
	store, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer store.Close()
	var dropped atomic.Bool
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if p.cut.Load() && n > 0 {
				dropped.Store(true)
			}
			if err != nil {
				return
			}
			if dropped.Load() {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		pass(c, store)
		c.Close()
	}()
	pass(store, c)
	store.Close()
	<-done
}

// countingTarget answers at once and tells in its answer which service it belongs to.
func startCountingTarget(d *deployment, id, service, zone string) {
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // it ends with the process
		request := r.Header.Get("X-Cassiasaddle-Request-Id")
		d.record("run", "target", id, "service", service, "request", request)
		w.Header().Set("X-Cassiasaddle-Request-Id", request)
		w.Header().Set("X-Cassiasaddle-Server-Stamp", "stamp-"+id+"-"+request)
		w.Header().Set("X-Service", service)
		io.WriteString(w, service) //nolint:errcheck // the VM may have left
	}))
	d.register(id, service, listener.Addr().String(), zone, 6)
}

// playCutDuringStorm cuts one VM off the store while the configuration, which has grown, changes in quick succession.
func playCutDuringStorm(d *deployment) bool {
	zones := []string{"z-a", "z-b", "z-c"}
	for i, zone := range zones {
		startCountingTarget(d, fmt.Sprintf("i-old-%d", i), "portal-hogar", zone)
		startCountingTarget(d, fmt.Sprintf("i-new-%d", i), "facturacion", zone)
	}
	routes := []map[string]any{route("order-lookup", "/look/", "idempotent", "portal-hogar")}
	configure := func(event string) {
		version := d.configure(routes, "portal-hogar", "facturacion")
		encoded, _ := json.Marshal(routes)
		d.record(event, "version", version, "routes", len(routes), "bytesOfRoutes", len(encoded))
	}
	configure("configured")
	link := newCuttable(d.storeListener.Addr().String())
	vms := []*vm{d.startVM("front-0", zones[0], link.address), d.startVM("front-1", zones[1], ""), d.startVM("front-2", zones[2], "")}
	for range 2 {
		for range addedRoutes {
			name := fmt.Sprintf("r-%d", len(routes))
			routes = append(routes, route(name, "/added/"+name+"/", "idempotent", "portal-hogar"))
		}
		configure("grown")
		time.Sleep(2 * time.Second)
	}
	time.Sleep(beforeCut)
	cutAt := time.Now()
	if d.trouble {
		link.cut.Store(true)
		d.record("cutBegins", "vm", vms[0].name)
	}
	for at := cutAt; time.Since(cutAt) < stormFor; at = at.Add(stormGap) {
		time.Sleep(time.Until(at))
		name := fmt.Sprintf("r-%d", len(routes))
		routes = append(routes, route(name, "/added/"+name+"/", "idempotent", "portal-hogar"))
		configure("changed")
	}
	routes[0]["service"] = "facturacion"
	configure("moved")
	movedAt := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	link.cut.Store(false)
	d.record("cutEnds", "vm", vms[0].name)
	healedAt := time.Now()
	from := healedAt.Add(contactTime)
	if at := movedAt.Add(configApply); at.After(from) {
		from = at
	}
	time.Sleep(time.Until(from) + 100*time.Millisecond)
	d.record("observing", "inTouch", "all VMs")
	var stale, current, failed atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / probesPerS)
	defer ticker.Stop()
	n := 0
	for end := time.Now().Add(observedFor); time.Now().Before(end); <-ticker.C {
		n++
		requests.Add(1)
		go func() {
			defer requests.Done()
			id, v := fmt.Sprintf("look-%d", n), vms[n%len(vms)]
			service, status, err := ask(d, v, id)
			d.record("answered", "request", id, "vm", v.name, "status", status, "service", service, "error", err)
			switch service {
			case "portal-hogar":
				stale.Add(1)
			case "facturacion":
				current.Add(1)
			default:
				failed.Add(1)
			}
		}()
	}
	requests.Wait()
	if time.Since(cutAt) > storeHistory+5*time.Second || current.Load() == 0 {
		panic("the case took too long, or no request was served by the new service")
	}
	summary := []any{"sent", n, "byNewService", current.Load(), "byOldService", stale.Load(), "failed", failed.Load()}
	d.record("summary", summary...)
	fmt.Println(summary...)
	return stale.Load() > 0
}

// ask sends one lookup and returns the service that has run it.
func ask(d *deployment, v *vm, id string) (service string, status int, err error) {
	c, err := net.Dial("tcp", v.address)
	if err != nil {
		return "", 0, err
	}
	defer c.Close()
	d.record("sent", "request", id, "vm", v.name)
	fmt.Fprintf(c, "GET /look/one HTTP/1.1\r\nHost: %s\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Deadline-Ms: 4000\r\n\r\n", host, id)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", 0, err
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return reply.Header.Get("X-Service"), reply.StatusCode, err
}
