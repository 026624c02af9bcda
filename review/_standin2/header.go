package main

import (
	"fmt"
	"strings"
	"time"

	"cassiasaddle/platform/cassiastage"
)

func init() { cases["header"] = longHeaders }

// longHeaders has the operator raise the limit of headers, and clients send headers within the new limit.
func longHeaders(folder, program string, trouble bool) (verdict, error) {
	d, err := newDeployment(folder, program, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	a := d.startBackend("i-a", "orders", cassiastage.Behaviour{Work: 5 * time.Millisecond})
	configure := func(version, headerBytes int) {
		d.store.Put("op/config", map[string]any{"version": version, "routes": []map[string]any{route("/orders/", "idempotent", "orders")},
			"services": []map[string]any{serviceEntry("orders")},
			"limits":   map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 15000}})
		d.log("configuration %d: max_header_bytes %d", version, headerBytes)
	}
	configure(3, 16384)
	var vms []*vm
	for i := range 3 {
		v, err := d.startVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i))
		if err != nil {
			return verdict{}, err
		}
		vms = append(vms, v)
	}
	time.Sleep(5 * time.Second)
	length := 12 << 10
	if trouble {
		configure(8, 131072)
		length = 100 << 10
	}
	time.Sleep(5 * time.Second)
	denied, total := 0, 0
	for range 10 {
		for _, v := range vms {
			total++
			got := d.send(v, "GET", "/orders/1", nil, 2*time.Second, "Cookie", strings.Repeat("c", length))
			if got.err == nil && got.status/100 == 4 {
				denied++
			}
		}
	}
	return verdict{broken: denied > 5+total/500, seen: fmt.Sprintf("%d of %d proper requests were ended with a 4xx of the VM's own; %d ran", denied, total, len(a.Runs()))}, nil
}
