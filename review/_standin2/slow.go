package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cassiasaddle/platform/cassiastage"
)

func init() { cases["slow"] = slowReaders }

const (
	// memoryLimit is limits.memory_mb of the settings.
	memoryLimit = 284 << 20
	// answerBytes is the size of a backend's answer.
	answerBytes = 6 << 20
	// readers is the number of clients of a VM, which come one after the other.
	readers       = 80
	readerSpacing = 50 * time.Millisecond
	readerLimit   = 4 * time.Second
	slowFor       = 50 * time.Second
)

// memoryOf returns the resident memory of a process that the case has started.
func memoryOf(pid int) int64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// keeper ends a VM's process when it is over its memory, and starts it again, as the platform does.
type keeper struct {
	mutex sync.Mutex
	ends  map[string]int
	peak  map[string]int64
}

func (k *keeper) watch(d *deployment, v *vm, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		memory := memoryOf(v.command.Process.Pid)
		k.mutex.Lock()
		k.peak[v.name] = max(k.peak[v.name], memory)
		k.mutex.Unlock()
		if memory <= memoryLimit {
			continue
		}
		d.log("%s has %d MB, over its %d MB: the platform ends it", v.name, memory>>20, memoryLimit>>20)
		v.end()
		k.mutex.Lock()
		k.ends[v.name]++
		k.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		if err := v.begin(); err != nil {
			d.log("%s does not start: %v", v.name, err)
			return
		}
	}
}

// readAnswer sends a request and reads its answer until its time limit; slowly if slow is set.
func (d *deployment) readAnswer(v *vm, slow bool) {
	id := fmt.Sprintf("%016x", d.ids.Add(1))
	conn, err := net.DialTimeout("tcp", v.address, time.Second)
	if err != nil {
		d.log("%s can't connect to %s: %v", id, v.name, err)
		return
	}
	defer conn.Close()
	end := time.Now().Add(readerLimit)
	conn.SetDeadline(end)
	if slow {
		conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	}
	fmt.Fprintf(conn, "GET /document/1 HTTP/1.1\r\nHost: %s\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Deadline-Ms: %d\r\n\r\n", host, id,
		readerLimit.Milliseconds())
	d.log("sent %s GET /document/1 to %s", id, v.name)
	var source io.Reader = conn
	if slow {
		source = slowly{conn}
	}
	reply, err := http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		d.log("%s got no answer from %s: %v", id, v.name, err)
		return
	}
	defer reply.Body.Close()
	n, err := io.Copy(io.Discard, reply.Body)
	d.log("%s got %d and %d bytes from %s, error %v", id, reply.StatusCode, n, v.name, err)
}

// slowly reads like a client on a slow link: 160 KB a second.
type slowly struct{ net.Conn }

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Conn.Read(p[:min(len(p), 16<<10)])
}

// slowReaders has clients read long answers slowly, until their time limit.
func slowReaders(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	for i := range 4 {
		b := d.startBackend(fmt.Sprintf("i-%d", i), "documents", cassiastage.Behaviour{Work: 5 * time.Millisecond})
		b.Body = bytes.Repeat([]byte("x"), answerBytes)
	}
	d.configure(3, []map[string]any{route("/document/", "idempotent", "documents")}, []map[string]any{serviceEntry("documents")})
	k := &keeper{ends: make(map[string]int), peak: make(map[string]int64)}
	stop := make(chan struct{})
	var running sync.WaitGroup
	end := time.Now().Add(slowFor)
	for i := range 3 {
		v, err := d.startVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i))
		if err != nil {
			return verdict{}, err
		}
		running.Add(1)
		go func() { defer running.Done(); k.watch(d, v, stop) }()
		running.Add(1)
		go func() {
			defer running.Done()
			places := make(chan struct{}, readers)
			for time.Now().Before(end) {
				places <- struct{}{}
				running.Add(1)
				go func() { defer running.Done(); d.readAnswer(v, trouble); <-places }()
				time.Sleep(readerSpacing)
			}
		}()
	}
	time.Sleep(time.Until(end))
	close(stop)
	running.Wait()
	machines := 0
	for _, n := range k.ends {
		if n >= 3 {
			machines++
		}
	}
	seen := fmt.Sprintf("ends over the memory limit: %v; on %d of 3 machines three or more; peaks:", k.ends, machines)
	for name, peak := range k.peak {
		seen += fmt.Sprintf(" %s %d MB", name, peak>>20)
	}
	return verdict{broken: machines >= 2, seen: seen}, nil
}
