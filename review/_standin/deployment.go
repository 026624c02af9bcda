package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassiasaddle/platform/cassiastage"
)

const (
	host       = "h.example"
	loopbackIP = "127.78.0.1"
	program    = "target/cassiafront"
)

// deployment is a small deployment on loopback addresses: a store, VMs as processes, and a record of what happens.
type deployment struct {
	trouble       bool
	store         *cassiastage.Store
	storeListener net.Listener
	directory     string
	recordPath    string
	start         time.Time

	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	vms     []*vm
	ports   map[string]bool
	version int
	closed  bool
}

type vm struct {
	name, address, ready, settings string
	process                        *exec.Cmd
}

func newDeployment(recordPath string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w; build the deploy file first", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: os.Getenv("TROUBLE") != "0", store: cassiastage.NewStore(), storeListener: listener, directory: directory,
		recordPath: recordPath, start: time.Now(), file: file, writer: bufio.NewWriter(file), ports: make(map[string]bool)}
	go http.Serve(listener, d.store) //nolint:errcheck // it ends with the process
	d.record("start", "trouble", d.trouble)
	return d, nil
}

// record writes a line with the seconds since the start, an event and its fields.
func (d *deployment) record(event string, fields ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	fmt.Fprintf(d.writer, "%9.4f %s", time.Since(d.start).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(d.writer, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(d.writer)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.process.Process.Kill() //nolint:errcheck // it may have ended
		v.process.Wait()         //nolint:errcheck // it was killed
	}
	d.record("end")
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	d.writer.Flush()
	d.file.Close()
	os.RemoveAll(d.directory)
}

func (d *deployment) freePort() string {
	for {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			panic(err)
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		l.Close()
		if !d.ports[port] {
			d.ports[port] = true
			return port
		}
	}
}

// startVM starts a VM with the command of the deploy file and waits until it is ready. storeAddress is empty for the store itself.
func (d *deployment) startVM(name, zone, storeAddress string) *vm {
	if storeAddress == "" {
		storeAddress = d.storeListener.Addr().String()
	}
	v := &vm{name: name, address: loopbackIP + ":" + d.freePort(), ready: loopbackIP + ":" + d.freePort()}
	peers := d.freePort()
	settings := filepath.Join(d.directory, name+".conf")
	lines := []string{
		"node_name=" + name, "role=front", "machine_class=front", "serves=front", "ip=" + loopbackIP, "zone=" + zone, "region=r",
		"listen.front=" + v.address, "listen.ready_addr=" + v.ready, "internal_ports=" + peers + "," + peers, "bootstrap=true",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,scatter,platform",
		"bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=3000", "bounds.downgrade_ms=250", "bounds.outer_ms=12000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_budget_slack=54", "bounds.recovery_s=12", "platform.address=" + storeAddress,
		"platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		panic(err)
	}
	v.settings = settings
	d.run(v)
	d.vms = append(d.vms, v)
	d.record("vmReady", "vm", name, "zone", zone)
	return v
}

// run starts the process of a VM and waits until it is ready.
func (d *deployment) run(v *vm) {
	output, err := os.OpenFile(filepath.Join(d.directory, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	v.process = exec.Command("./"+program, "--metrics-port", d.freePort())
	v.process.Env = append(os.Environ(), "CASSIASADDLE_BOOT="+v.settings)
	v.process.Stdout, v.process.Stderr = output, output
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		panic(err)
	}
	for deadline := time.Now().Add(15 * time.Second); !v.isReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(v.name + " is not ready")
		}
	}
}

// restartVM starts a VM again whose process was killed.
func (d *deployment) restartVM(v *vm) {
	v.process.Wait() //nolint:errcheck // it was killed
	d.run(v)
	d.record("vmReady", "vm", v.name)
}

func (v *vm) isReady() bool {
	r, err := http.Get("http://" + v.ready + "/cassiasaddle/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// register writes the entry of a target that is ready.
func (d *deployment) register(id, service, address, zone string, slots int) {
	d.store.Put("servers/"+id, map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
}

// configure writes the next version of the configuration and returns it.
func (d *deployment) configure(routes []map[string]any, services ...string) int {
	d.version += 2
	var listed []map[string]any
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false})
	}
	d.store.Put("op/config", map[string]any{"version": d.version, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return d.version
}

// route returns a route to one service, like that of the sheets' lookups of one order.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": 4000, "target_latency_ms": 400,
		"priority": 2, "service": service, "max_attempts": 2}
}
