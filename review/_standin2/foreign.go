package main

import (
	"fmt"
	"time"

	"cassiasaddle/platform/cassiastage"
)

func init() { cases["foreign"] = foreignOwner }

// foreignOwner has another writer write an entry of a backend once, that lacks a field and names another service. The backend's own
// entries follow. Only requests that are sent later than drain after the first of these count.
func foreignOwner(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	work := cassiastage.Behaviour{Work: 20 * time.Millisecond}
	for i := range 2 {
		d.startBackend(fmt.Sprintf("i-orders-%d", i), "orders", work)
	}
	billing := d.startBackend("i-billing-0", "billing", work)
	d.startBackend("i-billing-1", "billing", work)
	d.configure(3, []map[string]any{route("/orders/", "idempotent", "orders"), route("/billing/", "idempotent", "billing")},
		[]map[string]any{serviceEntry("orders"), serviceEntry("billing")})
	var vms []*vm
	for i := range 3 {
		v, err := d.startVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i))
		if err != nil {
			return verdict{}, err
		}
		vms = append(vms, v)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		entry := billing.Entry(zone, "ready", 100000)
		delete(entry, "born")
		entry["service"] = "orders"
		d.store.Put("servers/"+billing.Name, entry)
		d.log("another writer has written an entry of %s of billing, with the service orders and without born", billing.Name)
	}
	time.Sleep(heartbeat + drain + time.Second)
	billing.mutex.Lock()
	d.log("%s has written %d complete entries, the last of them lies in the store", billing.Name, billing.sequence)
	billing.mutex.Unlock()
	sent := make(map[string]bool)
	for range 40 {
		for _, v := range vms {
			sent[d.send(v, "GET", "/orders/1", nil, 2*time.Second).id] = true
			d.send(v, "GET", "/billing/1", nil, 2*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
	}
	foreign := 0
	for id := range billing.Runs() {
		if sent[id] {
			foreign++
			d.log("%s of billing ran %s, a request for /orders/", billing.Name, id)
		}
	}
	return verdict{broken: foreign > 0, seen: fmt.Sprintf("%d of %d requests for orders were run by a backend of billing", foreign, len(sent))}, nil
}
