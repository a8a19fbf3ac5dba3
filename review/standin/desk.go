package main

import (
	"fmt"
	"time"
)

// startDesk starts VMs and a service with routes for repeatable requests and for orders.
func startDesk(d *deployment, vms, replicas int, work time.Duration, regions []string) error {
	for i := range replicas {
		r := &replica{id: fmt.Sprintf("i-desk%d", i), service: "kafi81c", zone: zones[i%3], work: work}
		if err := d.addReplica(r); err != nil {
			return err
		}
	}
	for i := range vms {
		if _, err := d.addVM(zones[i%3]); err != nil {
			return err
		}
	}
	d.store.put("op/config", deskConfig(1, regions))
	if err := d.startVMs(); err != nil {
		return err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the VMs know each other
	return nil
}

func deskRoute(name, prefix, kind string, regions []string) map[string]any {
	return map[string]any{
		"name": name, "host": "leno12.example", "prefix": prefix, "routeType": kind, "timeoutMs": 3000,
		"targetLatencyMs": 250, "priority": 1, "service": "kafi81c", "maxAttempts": 2, "allowedRegions": regions,
	}
}

// deskConfig returns a version of the configuration.
func deskConfig(version int, regions []string) string {
	return configText(version, []map[string]any{
		deskRoute("r-read", "/goka902/", "idempotent", regions),
		deskRoute("r-order", "/order77/", "non_idempotent", regions),
	}, []map[string]any{service("kafi81c", 46)})
}
