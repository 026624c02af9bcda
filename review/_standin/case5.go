package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["5"] = playStrandedVM }

const (
	strandedFor   = 12 * time.Second
	beforeStrand  = 8 * time.Second
	afterStrand   = 8 * time.Second
	triesPerS     = 30
	strandedWork  = 50 * time.Millisecond
	servedRatio   = 2.0 / 3
	allowedFailed = 10
	allowedShare  = 1.0 / 50
)

// strand holds the links between one VM and all targets. While they are cut, nothing passes in either direction, on the connections that
// are open and on new ones; connections that were open in a cut stay silent.
type strand struct {
	cut atomic.Bool

	mutex  sync.Mutex
	relays map[string]string
}

// addressFor returns the address of the link to a target.
func (s *strand) addressFor(target string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.relays[target] == "" {
		listener, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			panic(err)
		}
		s.relays[target] = listener.Addr().String()
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go s.relay(c, target)
			}
		}()
	}
	return s.relays[target]
}

func (s *strand) relay(c net.Conn, address string) {
	defer c.Close()
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	var silent atomic.Bool
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if s.cut.Load() {
				silent.Store(true)
			}
			if err != nil {
				return
			}
			if silent.Load() {
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
		pass(c, target)
		if !silent.Load() {
			c.Close()
		}
	}()
	pass(target, c)
	target.Close()
	<-done
}

// storeThrough serves the store to one VM, with the addresses of its links in the place of the targets' own.
func (s *strand) storeThrough(store http.Handler) string {
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		panic(err)
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // it ends with the process
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		var reply map[string]any
		decoder := json.NewDecoder(recorder.Body)
		decoder.UseNumber()
		if decoder.Decode(&reply) == nil {
			for _, field := range []string{"items", "events"} {
				list, _ := reply[field].([]any)
				for _, i := range list {
					item, _ := i.(map[string]any)
					s.rewrite(item)
				}
			}
			s.rewrite(reply)
			body, _ = json.Marshal(reply)
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		w.Write(body) //nolint:errcheck // the VM may have left
	}))
	return listener.Addr().String()
}

// rewrite replaces the address in the entry of a target.
func (s *strand) rewrite(item map[string]any) {
	key, _ := item["key"].(string)
	value, _ := item["value"].(string)
	if !strings.HasPrefix(key, "servers/") || value == "" {
		return
	}
	decoded, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return
	}
	var entry map[string]any
	if json.Unmarshal(decoded, &entry) != nil {
		return
	}
	address, _ := entry["address"].(string)
	entry["address"] = s.addressFor(address)
	encoded, _ := json.Marshal(entry)
	item["value"] = base64.StdEncoding.EncodeToString(encoded)
}

// playStrandedVM cuts one of three VMs off all targets, while callers, the store and the other VMs reach it.
func playStrandedVM(d *deployment) bool {
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range 6 {
		startWorkingTarget(d, fmt.Sprintf("i-%d", i), "askrift", zones[i%len(zones)], strandedWork)
	}
	d.configure([]map[string]any{route("order-look", "/look/", "idempotent", "askrift")}, "askrift")
	links := &strand{relays: make(map[string]string)}
	var vms []*vm
	for i, zone := range zones {
		store := ""
		if i == 0 {
			store = links.storeThrough(d.store)
		}
		vms = append(vms, d.startVM(fmt.Sprintf("front-%d", i), zone, store))
	}
	var cutAt atomic.Int64
	start := time.Now()
	go func() {
		time.Sleep(beforeStrand)
		if d.trouble {
			links.cut.Store(true)
			d.record("cutBegins", "vm", vms[0].name, "from", "all targets")
		}
		cutAt.Store(time.Now().UnixNano())
		time.Sleep(strandedFor)
		links.cut.Store(false)
		d.record("cutEnds", "vm", vms[0].name)
	}()
	// While the VM is cut off, from contactTime after the beginning.
	var atStranded, atOthers tally
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / triesPerS)
	defer ticker.Stop()
	n := 0
	for ; time.Since(start) < beforeStrand+strandedFor+afterStrand; <-ticker.C {
		n++
		number, v := n, vms[n%len(vms)]
		since := time.Duration(time.Now().UnixNano() - cutAt.Load())
		counted := cutAt.Load() != 0 && since >= contactTime && since < strandedFor
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := fmt.Sprintf("look-%d", number)
			status, stamp, err := lookUpOnce(d, v, id)
			served := err == nil && status == http.StatusOK && stamp != ""
			d.record("answered", "request", id, "vm", v.name, "status", status, "stamp", stamp, "error", err, "counted", counted)
			t := &atOthers
			if v == vms[0] {
				t = &atStranded
			}
			if counted {
				t.sent.Add(1)
				if served {
					t.served.Add(1)
				}
			}
		}()
	}
	requests.Wait()
	if atOthers.share() < 0.9 {
		panic("the other VMs did not serve their requests")
	}
	tries := atStranded.sent.Load() + atOthers.sent.Load()
	failed := atStranded.sent.Load() - atStranded.served.Load()
	summary := []any{"firstTriesAtTheStrandedVM", atStranded.sent.Load(), "served", atStranded.served.Load(), "firstTriesAtTheOthers", atOthers.sent.Load(),
		"servedThere", atOthers.served.Load()}
	d.record("summary", summary...)
	fmt.Println(summary...)
	return atStranded.share() < servedRatio*atOthers.share() && float64(failed) > allowedFailed+allowedShare*float64(tries)
}
