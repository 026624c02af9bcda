package main

import (
	"fmt"
	"time"

	"cassiasaddle/platform/cassiastage"
)

func init() { cases["outage"] = foreignService }

// foreignService has another writer write one entry for each backend, with a service that is not in the configuration. The backends'
// own entries follow at each heartbeat. Then clients begin to send requests.
func foreignService(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	var backends []*backend
	for i := range 3 {
		backends = append(backends, d.startBackend(fmt.Sprintf("i-%d", i), "orders", cassiastage.Behaviour{Work: 20 * time.Millisecond}))
	}
	d.configure(3, []map[string]any{route("/orders/", "idempotent", "orders")}, []map[string]any{serviceEntry("orders")})
	var vms []*vm
	for i := range 3 {
		v, err := d.startVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i))
		if err != nil {
			return verdict{}, err
		}
		vms = append(vms, v)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, b := range backends {
			entry := b.Entry(zone, "ready", 1)
			entry["service"], entry["born"] = "not-in-the-configuration", time.Now().UnixMilli()
			d.store.Put("servers/"+b.Name, entry)
			d.log("another writer has written one entry of %s, with a service that is not named", b.Name)
		}
	}
	time.Sleep(5 * time.Second)
	served, total := 0, 0
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, v := range vms {
			total++
			if a := d.send(v, "GET", "/orders/1", nil, 2*time.Second); a.err == nil && a.status == 200 {
				served++
			}
		}
	}
	for _, b := range backends {
		b.mutex.Lock()
		d.log("%s has written %d complete entries and ran %d requests", b.Name, b.sequence, len(b.Runs()))
		b.mutex.Unlock()
	}
	return verdict{broken: served == 0, seen: fmt.Sprintf("%d of %d requests were served", served, total)}, nil
}
