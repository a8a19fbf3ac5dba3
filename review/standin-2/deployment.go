package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The bounds of a small deployment, as in its settings.
const (
	contact       = 4 * time.Second
	heartbeat     = 1200 * time.Millisecond
	startupTime   = 20 * time.Second
	settleTime    = 3 * time.Second // between readiness and traffic
	host          = "hufi27.example"
	serviceName   = "kafi81c"
	readPrefix    = "/goka902/"
	orderPrefix   = "/order77/"
	routeDeadline = 10 * time.Second
)

// listenHost is where all listen: a loopback address of this process, with a free port.
var listenHost = fmt.Sprintf("127.%d.%d.1:0", 60+os.Getpid()%100, os.Getpid()/100%250)

var zones = []string{"sorachi-a", "otaru-a", "tokachi-a"}

// started has the processes that the case has started.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// killAll ends the processes that the case has started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

// vm is one VM with its sw-node process.
type vm struct {
	name, zone           string
	callers, ready       string
	relay, admin, config string
	links                []*link // to the replicas
	cmd                  *exec.Cmd
	log                  *os.File
	ended                chan struct{}
}

// deployment is the VMs, the store and the replicas of a case.
type deployment struct {
	dir      string // temporary
	store    *store
	vms      []*vm
	replicas []*replica
	runs     *runs
	stop     chan struct{}
	reserved []net.Listener // for the VMs until they start
}

// reserve returns a free loopback address. It stays taken until the listener is closed.
// Connections have other addresses of their own, and so can't take the port afterwards.
func (d *deployment) reserve() string {
	ln, err := net.Listen("tcp", listenHost)
	if err != nil {
		return ""
	}
	d.reserved = append(d.reserved, ln)
	return ln.Addr().String()
}

// newDeployment starts the store and the replicas, and writes the configuration.
func newDeployment(replicas []*replica, config map[string]any) (*deployment, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: newStore(), replicas: replicas, runs: &runs{byID: map[string][]run{}}, stop: make(chan struct{})}
	d.store.view = d.view
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	d.store.put("op/config", text)
	for _, r := range replicas {
		r.runs = d.runs
		if err := startReplica(r); err != nil {
			return nil, err
		}
		go r.keepRegistered(d.store, heartbeat, d.stop)
	}
	return d, nil
}

// view replaces the address of a replica by that of a VM's link to it.
func (d *deployment) view(vm int, key string, value []byte) []byte {
	id, ok := strings.CutPrefix(key, "servers/")
	if !ok || len(value) == 0 || vm >= len(d.vms) {
		return value
	}
	for i, r := range d.replicas {
		if r.id == id && i < len(d.vms[vm].links) {
			return bytes.Replace(value, []byte(`"`+r.addr+`"`), []byte(`"`+d.vms[vm].links[i].addr+`"`), 1)
		}
	}
	return value
}

// startVMs starts the sw-node processes, perZone in each zone, and waits until all are
// ready.
func (d *deployment) startVMs(perZone int) error { return d.startVMsIn(perZone, perZone, perZone) }

// startVMsIn is startVMs with the number of VMs in each zone.
func (d *deployment) startVMsIn(numbers ...int) error {
	for i, zone := range zones {
		for n := range numbers[i] {
			v := &vm{
				name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, callers: d.reserve(), ready: d.reserve(), relay: d.reserve(), admin: d.reserve(),
				ended: make(chan struct{}),
			}
			for _, r := range d.replicas {
				l, err := startLink(r.addr)
				if err != nil {
					return err
				}
				v.links = append(v.links, l)
			}
			d.vms = append(d.vms, v)
		}
	}
	var stores []string
	for i := range d.vms {
		kv, err := d.store.listen(i)
		if err != nil {
			return err
		}
		stores = append(stores, kv)
	}
	for _, ln := range d.reserved {
		_ = ln.Close()
	}
	for i, v := range d.vms {
		if err := d.start(v, stores[i]); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settings returns the settings of a VM, as deploy/node.ini.tmpl gives them for a small
// deployment.
func (d *deployment) settings(v *vm, kv string) string {
	seeds := []string{}
	for _, other := range d.vms[:min(3, len(d.vms))] {
		seeds = append(seeds, other.relay)
	}
	return fmt.Sprintf(`[node]
id = %s
zone = %s
grace = 6s

[direct]
listen = %s
ready = %s
admin = %s
relay = %s
link-rate = 1000.0
memory = 284
descriptors = 4100
seeds = %s
regions = sorachi-a=sorachi,otaru-a=otaru,tokachi-a=tokachi
cold-overage = 1.5
cold-slack = 5
retry-share = 0.2
retry-slack = 58
exposure-share = 0.1
exposure-slack = 50
rollback = 5000ms
rules = base,drain,config,cost,retry,recover,scatter,places,rollout,platform
revocation = off

[usage]
duties = 

[platform]
kv = %s
timeout = 2s
`, v.name, v.zone, v.callers, v.ready, v.admin, v.relay, strings.Join(seeds, ","), kv)
}

// start starts a VM's process with the command of the deploy file.
func (d *deployment) start(v *vm, kv string) error {
	v.config = filepath.Join(d.dir, v.name+".ini")
	if err := os.WriteFile(v.config, []byte(d.settings(v, kv)), 0o600); err != nil {
		return err
	}
	var err error
	if v.log, err = os.Create(filepath.Join(d.dir, v.name+".log")); err != nil {
		return err
	}
	v.cmd = exec.Command("target/sw-node", "--config", v.config)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.processes = append(started.processes, v.cmd.Process)
	started.mu.Unlock()
	go func() {
		_ = v.cmd.Wait()
		close(v.ended)
	}()
	return nil
}

func (v *vm) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startupTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(v.name + " is not ready")
}

// close ends all processes that the case started.
func (d *deployment) close() {
	close(d.stop)
	for _, v := range d.vms {
		if v.cmd == nil || v.cmd.Process == nil {
			continue
		}
		_ = v.cmd.Process.Kill()
		<-v.ended
		_ = v.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// deskConfig is a configuration with one service, a route that may be repeated and one that
// may not.
func deskConfig() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeType": kind, "timeoutMs": routeDeadline.Milliseconds(), "targetLatencyMs": 600,
			"priority": 2, "service": serviceName, "maxAttempts": 2, "allowedRegions": []string{},
		}
	}
	return map[string]any{
		"version": 3,
		"routes":  []any{route("r-read", readPrefix, "idempotent"), route("r-order", orderPrefix, "non_idempotent")},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// deskReplicas returns replicas of one service, spread over the zones.
func deskReplicas(n int, work time.Duration) []*replica {
	var out []*replica
	for i := range n {
		out = append(out, &replica{id: fmt.Sprintf("i-7f3a91%02x", i), service: serviceName, zone: zones[i%len(zones)], slots: 6, queue: 24, work: work})
	}
	return out
}

// The parts of a query, and how many of them make an answer.
const (
	shards       = 10
	neededShards = 9
	queryPrefix  = "/rany330/"
)

func shardName(i int) string { return fmt.Sprintf("huvo1%c", 'a'+i) }

// shardsConfig is a configuration with one route over all shards.
func shardsConfig() map[string]any {
	var names []string
	var services []any
	for i := range shards {
		names = append(names, shardName(i))
		services = append(services, map[string]any{
			"name": shardName(i), "healthPath": "/health", "maxConnections": 36, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
		})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-query", "host": host, "prefix": queryPrefix, "routeType": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 200,
			"priority": 1, "fanout": names, "maxAttempts": 2, "topK": 20, "minCoverage": 0.89, "allowedRegions": []string{},
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// shardReplicas returns a replica of each shard in each zone.
func shardReplicas(work time.Duration) []*replica {
	var out []*replica
	for i := range shards {
		for j, zone := range zones {
			out = append(out, &replica{id: fmt.Sprintf("i-02d9e%02x%02x", i, j), service: shardName(i), zone: zone, slots: 4, queue: 24, work: work, records: 25})
		}
	}
	return out
}
