package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenant"] = movedKey }

// run is a request that a backend ran.
type run struct {
	id, tenant string
	at         time.Time
	bytes      int
}

// plain is a backend that records the tenants for which it ran requests.
type plain struct {
	name  string
	mutex sync.Mutex
	runs  []run
}

func (b *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Cassiasaddle-Instance-Id", b.name)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Cassiasaddle-Request-Id")
	if r.Header.Get("X-Cassiasaddle-Expect-Instance") != b.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mutex.Lock()
	b.runs = append(b.runs, run{id: id, tenant: r.Header.Get("X-Cassiasaddle-Tenant"), at: time.Now(), bytes: len(body)})
	b.mutex.Unlock()
	w.Header().Set("X-Cassiasaddle-Request-Id", id)
	w.Header().Set("X-Cassiasaddle-Server-Stamp", "stamp."+b.name+"."+id)
	io.WriteString(w, "the answer") //nolint:errcheck // the caller may have left
}

// startPlain starts a backend that writes its entry at each heartbeat.
func (d *deployment) startPlain(name, service string) (*plain, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(errNotRun, err)
	}
	b := &plain{name: name}
	server := &http.Server{Handler: b}
	go server.Serve(listener) //nolint:errcheck // it is closed at the end
	d.stops = append(d.stops, func() { server.Close() })
	born, sequence := time.Now().UnixMilli(), 0
	d.every(heartbeat, func() bool {
		sequence++
		d.store.Put("servers/"+name, map[string]any{"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 4,
			"state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": born})
		return true
	})
	return b, nil
}

// configureTenants writes a configuration with two tenants, of which one holds the key "key-m".
func (d *deployment) configureTenants(version int, holder string) {
	keys := map[string][]string{"north": {"key-n"}, "south": {"key-s"}}
	keys[holder] = append(keys[holder], "key-m")
	var tenants []map[string]any
	for _, name := range []string{"north", "south"} {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys[name]})
	}
	d.store.Put("op/config", map[string]any{"version": version, "routes": []map[string]any{route("/upload/", "idempotent", "uploads")},
		"services": []map[string]any{serviceEntry("uploads")}, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 15000}})
	d.log("configuration %d: key-m belongs to %s", version, holder)
}

const (
	uploadBytes = 200_000
	uploadFor   = 10 * time.Second
)

// upload sends a request whose body takes uploadFor, and returns its id.
func (d *deployment) upload(v *vm) (id string, err error) {
	id = fmt.Sprintf("%016x", d.ids.Add(1))
	conn, err := net.DialTimeout("tcp", v.address, time.Second)
	if err != nil {
		return id, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(uploadFor + 10*time.Second))
	fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: key-m\r\nX-Cassiasaddle-Request-Id: %s\r\nX-Cassiasaddle-Deadline-Ms: 15000\r\n"+
		"Content-Length: %d\r\n\r\n", host, id, uploadBytes)
	d.log("sent the header of %s to %s", id, v.name)
	part := bytes.Repeat([]byte("x"), uploadBytes/100)
	for range 100 {
		if _, err := conn.Write(part); err != nil {
			return id, err
		}
		time.Sleep(uploadFor / 100)
	}
	d.log("sent all of %s", id)
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	line, _, _ := bytes.Cut(answer[:n], []byte("\r\n"))
	d.log("answered %s %q %v", id, line, err)
	return id, nil
}

// movedKey has the operator give a tenant's key to another tenant while requests with it are being sent.
func movedKey(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	b, err := d.startPlain("i-a", "uploads")
	if err != nil {
		return verdict{}, err
	}
	d.configureTenants(3, "north")
	var vms []*vm
	for i := range 3 {
		v, err := d.startVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), "bounds.strict_revoke=true", "bounds.revoke_ms=5000",
			"bounds.quota_window_s=5", "bounds.quota_excess=0.1", "bounds.quota_slack=20")
		if err != nil {
			return verdict{}, err
		}
		vms = append(vms, v)
	}
	time.Sleep(5 * time.Second)
	var uploads sync.WaitGroup
	for _, v := range vms {
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			if id, err := d.upload(v); err != nil {
				d.log("%s: %v", id, err)
			}
		}()
	}
	time.Sleep(time.Second)
	holder, moved := "north", time.Time{}
	if trouble {
		d.configureTenants(8, "south")
		holder, moved = "south", time.Now()
	}
	uploads.Wait()
	wrong := 0
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range b.runs {
		after := ""
		if trouble {
			after = fmt.Sprintf(", %.1f s after the key was given to %s", r.at.Sub(moved).Seconds(), holder)
		}
		d.log("i-a ran %s with %d bytes for tenant %q%s", r.id, r.bytes, r.tenant, after)
		if r.tenant != holder {
			wrong++
		}
	}
	return verdict{broken: wrong > 0, seen: fmt.Sprintf("%d of %d requests ran for a tenant that does not hold their key", wrong, len(b.runs))}, nil
}
