package main

import (
	"fmt"
	"time"

	"cassiasaddle/platform/cassiastage"
)

func init() { cases["entry"] = foreignEntry }

// foreignEntry has another writer write an entry of a backend once, that lacks a field. The backend's own entries follow, and the backend
// then drains.
func foreignEntry(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	a := d.startBackend("i-a", "orders", cassiastage.Behaviour{Work: 20 * time.Millisecond})
	b := d.startBackend("i-b", "orders", cassiastage.Behaviour{Work: 20 * time.Millisecond})
	d.configure(3, []map[string]any{route("/orders/", "idempotent", "orders")}, []map[string]any{serviceEntry("orders")})
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
		entry := a.Entry(zone, "ready", 100000)
		delete(entry, "born")
		d.store.Put("servers/"+a.Name, entry)
		d.log("another writer has written an entry of %s without born", a.Name)
	}
	for range 10 {
		for _, v := range vms {
			d.send(v, "GET", "/orders/1", nil, 2*time.Second)
		}
		time.Sleep(300 * time.Millisecond)
	}
	// Two more heartbeats, in calm.
	time.Sleep(3 * time.Second)
	behaviour := cassiastage.Behaviour{Work: 20 * time.Millisecond, Leaving: true}
	a.SetBehaviour(behaviour)
	a.setState("draining")
	acked := time.Now()
	time.Sleep(drain + 500*time.Millisecond)
	for range 10 {
		for _, v := range vms {
			d.send(v, "GET", "/orders/2", nil, 2*time.Second)
		}
		time.Sleep(300 * time.Millisecond)
	}
	late := a.late(acked.Add(drain))
	for _, r := range late {
		d.log("%s got %s %d ms after the ack of draining", a.Name, r.Request, r.At.Sub(acked).Milliseconds())
	}
	return verdict{broken: len(late) > 0, seen: fmt.Sprintf("%d requests reached the draining backend later than %v after the ack, %d the other one",
		len(late), drain, len(b.late(acked.Add(drain))))}, nil
}
