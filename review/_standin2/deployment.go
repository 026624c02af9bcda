package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cassiasaddle/platform/cassiastage"
)

const (
	host      = "shop.example"
	zone      = "zone-a"
	region    = "region-a"
	drain     = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// deployment is a store, backends and VMs on loopback addresses.
type deployment struct {
	start   time.Time
	tmp     string
	program string
	store   *cassiastage.Store
	// storeAddress is where the VMs call the store.
	storeAddress string
	storeServer  *http.Server
	vms          []*vm
	backends     []*backend
	ids          atomic.Int64

	mutex  sync.Mutex
	record *os.File
	stops  []func()
}

// newDeployment starts a store; handle, if not nil, wraps its handler.
func newDeployment(folder, program string, handle func(http.Handler) http.Handler) (*deployment, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Join(errNotRun, err)
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(errNotRun, err)
	}
	d := &deployment{start: time.Now(), tmp: tmp, program: program, store: cassiastage.NewStore(), record: record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(errNotRun, err)
	}
	var handler http.Handler = d.store
	if handle != nil {
		handler = handle(handler)
	}
	d.storeAddress = listener.Addr().String()
	d.storeServer = &http.Server{Handler: handler}
	go d.storeServer.Serve(listener) //nolint:errcheck // it is closed at the end
	return d, nil
}

// log writes a line to the record.
func (d *deployment) log(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and writers.
func (d *deployment) close() {
	for _, stop := range d.stops {
		stop()
	}
	for _, v := range d.vms {
		v.end()
	}
	d.storeServer.Close()
	for _, b := range d.backends {
		for id, n := range b.Runs() {
			d.log("%s of %s ran %s, %d times", b.Name, b.Service, id, n)
		}
	}
	d.record.Close()
	os.RemoveAll(d.tmp)
}

// every calls f now and at each interval until the end, or until it returns false.
func (d *deployment) every(interval time.Duration, f func() bool) {
	stop := make(chan struct{})
	var once sync.Once
	d.stops = append(d.stops, func() { once.Do(func() { close(stop) }) })
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for f() {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
}

// vm is one process of cassiafront.
type vm struct {
	name, address, ready string
	settings             string
	program              string
	log                  string
	mutex                sync.Mutex
	command              *exec.Cmd
	transport            *http.Transport
}

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

// startVM starts a VM and waits until it is ready.
func (d *deployment) startVM(name, ip string, more ...string) (*vm, error) {
	v, err := d.launchVM(name, ip, more...)
	if err != nil {
		return nil, err
	}
	for range 500 {
		if v.isReady() {
			d.log("VM %s is ready", name)
			return v, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.Join(errNotRun, fmt.Errorf("%s is not ready", name))
}

func (d *deployment) launchVM(name, ip string, more ...string) (*vm, error) {
	var ports [3]string
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, errors.Join(errNotRun, err)
		}
		ports[i] = port
	}
	v := &vm{name: name, address: ip + ":" + ports[0], ready: ip + ":" + ports[1], program: d.program,
		settings: filepath.Join(d.tmp, name+".conf"), log: filepath.Join(d.tmp, name+".log"),
		transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	lines := []string{"node_name=" + name, "role=front", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=" + region,
		"zones." + zone + "=" + region, "listen.front=" + v.address, "listen.ready_addr=" + v.ready, "internal_ports=" + ports[2] + ",65535",
		"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "fault_tolerance.machines=2", "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2",
		"bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4", "bounds.drain_ms=3000", "bounds.grace_s=6",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.downgrade_ms=250", "bounds.outer_ms=12000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=58", "bounds.recovery_s=12",
		"platform.address=" + d.storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000"}
	lines = append(lines, more...)
	if err := os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, errors.Join(errNotRun, err)
	}
	d.vms = append(d.vms, v)
	return v, v.begin()
}

// begin starts the VM's process with the command of the deploy file.
func (v *vm) begin() error {
	output, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Join(errNotRun, err)
	}
	defer output.Close()
	command := exec.Command(v.program, "--metrics-port", "9464")
	command.Env = append(os.Environ(), "CASSIASADDLE_BOOT="+v.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Join(errNotRun, err)
	}
	v.mutex.Lock()
	v.command = command
	v.mutex.Unlock()
	return nil
}

func (v *vm) signal(s syscall.Signal) { v.command.Process.Signal(s) } //nolint:errcheck // the case shows it

// end kills the VM's process.
func (v *vm) end() {
	if v.command == nil {
		return
	}
	v.command.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it may have ended
	v.command.Process.Kill()                  //nolint:errcheck // it may have ended
	v.command.Wait()                          //nolint:errcheck // it was killed
	v.command = nil
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	reply, err := client.Get("http://" + v.ready + "/cassiasaddle/readiness")
	if err != nil {
		return false
	}
	reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request of a client and logs its answer.
func (d *deployment) send(v *vm, method, path string, body []byte, limit time.Duration, headers ...string) answer {
	a := answer{id: fmt.Sprintf("%016x", d.ids.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set("X-Cassiasaddle-Request-Id", a.id)
	request.Header.Set("X-Cassiasaddle-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	d.log("sent %s %s %s to %s", a.id, method, path, v.name)
	reply, err := v.transport.RoundTrip(request)
	if err != nil {
		a.err = err
		d.log("no answer %s: %v", a.id, err)
		return a
	}
	defer reply.Body.Close()
	a.status, a.header = reply.StatusCode, reply.Header
	a.body, a.err = io.ReadAll(reply.Body)
	d.log("answered %s %d after %d ms, %d bytes, error %v", a.id, a.status, time.Since(a.sentAt).Milliseconds(), len(a.body), a.err)
	return a
}

// route returns a route to one service.
func route(prefix, kind, service string) map[string]any {
	return map[string]any{"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": host, "prefix": prefix, "route_type": kind,
		"timeout_ms": 4000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2, "service": service}
}

func serviceEntry(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 50}
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, routes, services []map[string]any) {
	d.store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	d.log("configuration %d", version)
}

// backend is a target with the entry that it writes to the store.
type backend struct {
	*cassiastage.Target
	d        *deployment
	mutex    sync.Mutex
	born     int64
	sequence int
	state    string
}

// startBackend starts a backend that writes its entry at each heartbeat.
func (d *deployment) startBackend(name, service string, b cassiastage.Behaviour) *backend {
	t := &backend{Target: cassiastage.NewTarget(name, service, []byte("answer of "+name)), d: d, born: time.Now().UnixMilli(), state: "ready"}
	t.SetBehaviour(b)
	d.backends = append(d.backends, t)
	d.stops = append(d.stops, t.Close)
	d.every(heartbeat, func() bool { t.beat(); return true })
	return t
}

// beat writes the backend's entry unless it has left.
func (t *backend) beat() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.state == "" {
		return
	}
	t.sequence++
	entry := t.Entry(zone, t.state, t.sequence)
	entry["born"] = t.born
	t.d.store.Put("servers/"+t.Name, entry)
}

// setState changes what the backend writes of itself; with an empty state its entry is removed.
func (t *backend) setState(state string) {
	t.mutex.Lock()
	t.state = state
	t.mutex.Unlock()
	if state == "" {
		t.d.store.Delete("servers/" + t.Name)
		t.d.log("the entry of %s is removed", t.Name)
		return
	}
	t.beat()
	t.d.log("%s has written its state %s, sequence %d, born %d", t.Name, state, t.sequence, t.born)
}

// late returns the arrivals at a backend after a time, of requests that were sent after it.
func (t *backend) late(after time.Time) []cassiastage.Arrival {
	var late []cassiastage.Arrival
	for _, a := range t.Arrivals() {
		if a.At.After(after) {
			late = append(late, a)
		}
	}
	return late
}
