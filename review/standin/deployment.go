package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// regionDelay is the one-way delay between regions at the site ommeren-zoek.
const regionDelay = 20 * time.Millisecond

// zones and regionOf are those of the site.
var zones = []string{"zaandam", "tilburg", "arnhem"}

func regionOf(zone string) string {
	return map[string]string{"zaandam": "noord-holland", "tilburg": "brabant", "arnhem": "gelderland"}[zone]
}

// vm is one VM of the system.
type vm struct {
	name, zone           string
	callers, ready       string
	view                 *storeView
	links                map[string]*link // by replica address
	peers                *link            // from other VMs
	storeLink            *link            // to the store
	peerLinks            map[string]*link // to other VMs, by their address
	settings             string
	cmd                  *exec.Cmd
	mu                   sync.Mutex
	log                  *os.File
	relay, own, adminURL string
}

// deployment is the system with its stand-ins.
type deployment struct {
	dir      string
	record   *record
	store    *store
	replicas []*replica
	vms      []*vm
	// direct states that VMs connect to replicas without links.
	direct bool

	mu   sync.Mutex
	runs []run
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, record: rec, store: newStore()}, nil
}

// portsGiven has the ports that freeAddr has returned.
var portsGiven = map[int]bool{}

// freeAddr returns an address whose port is below those that connections get, so that none
// takes it before a process listens there.
func freeAddr() (string, error) {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil && !portsGiven[port] {
			portsGiven[port] = true
			defer func() { _ = ln.Close() }()
			return ln.Addr().String(), nil
		}
		if err == nil {
			_ = ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// addReplica starts a replica.
func (d *deployment) addReplica(r *replica) error {
	if r.slots == 0 {
		r.slots = 6
	}
	if r.version == "" {
		r.version = "v1"
	}
	r.onRun = func(x run) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.runs = append(d.runs, x)
	}
	d.replicas = append(d.replicas, r)
	return r.start(d.store)
}

// vmNamed returns a VM.
func (d *deployment) vmNamed(name string) *vm {
	for _, v := range d.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (d *deployment) replica(id string) *replica {
	for _, r := range d.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// link returns the VM's link to a replica.
func (v *vm) link(target string) *link {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.links[target] == nil {
		l, err := startLink(target, 500*time.Microsecond)
		if err != nil {
			panic(err)
		}
		l.source = v.name
		v.links[target] = l
	}
	return v.links[target]
}

// peerLink returns the address of the VM's own link to another VM.
func (v *vm) peerLink(addr string) string {
	if addr == v.relay {
		return addr
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.peerLinks[addr] == nil {
		l, err := startLink(addr, 0)
		if err != nil {
			panic(err)
		}
		v.peerLinks[addr] = l
	}
	return v.peerLinks[addr].addr
}

// systemLinks returns the links between the VM and the store and the other VMs.
func (v *vm) systemLinks() []*link {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []*link{v.storeLink, v.peers}
	for _, l := range v.peerLinks {
		out = append(out, l)
	}
	return out
}

// hangReplicas partitions VMs from all replicas: their connections hang.
func (d *deployment) hangReplicas(vms []*vm) { d.onLinks(vms, (*link).hang) }

// healReplicas ends the partition.
func (d *deployment) healReplicas(vms []*vm) { d.onLinks(vms, (*link).heal) }

func (d *deployment) onLinks(vms []*vm, do func(l *link)) {
	var wg sync.WaitGroup
	for _, v := range vms {
		for _, r := range d.replicas {
			l := v.link(r.addr)
			wg.Go(func() { do(l) })
		}
	}
	wg.Wait()
}

// inZone returns the VMs of a zone.
func (d *deployment) inZone(zone string) []*vm {
	var out []*vm
	for _, v := range d.vms {
		if v.zone == zone {
			out = append(out, v)
		}
	}
	return out
}

// addVM prepares a VM in a zone.
func (d *deployment) addVM(zone string) (*vm, error) {
	v := &vm{name: fmt.Sprintf("frontend-%s-%d", zone, len(d.vms)+1), zone: zone, links: map[string]*link{}, peerLinks: map[string]*link{}}
	v.view = &storeView{store: d.store, rewritePeer: v.peerLink}
	if !d.direct {
		v.view.rewrite = func(addr string) string { return v.link(addr).addr }
	}
	if err := v.view.start(); err != nil {
		return nil, err
	}
	for _, dst := range []*string{&v.callers, &v.ready, &v.own, &v.adminURL} {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		*dst = addr
	}
	peers, err := startLink(v.own, regionDelay)
	if err != nil {
		return nil, err
	}
	if v.storeLink, err = startLink(v.view.addr, time.Millisecond); err != nil {
		return nil, err
	}
	v.peers, v.relay = peers, peers.addr
	d.vms = append(d.vms, v)
	return v, nil
}

// startVMs writes the settings and starts the processes with the command of the deploy file.
func (d *deployment) startVMs() error {
	var seeds, regions []string
	for i, v := range d.vms {
		if i < 3 {
			seeds = append(seeds, v.relay)
		}
	}
	for _, z := range zones {
		regions = append(regions, z+"="+regionOf(z))
	}
	for _, v := range d.vms {
		// deploy/node.ini.tmpl with the values of a small deployment; relay-listen, since
		// the connections between VMs pass through a link with a delay.
		text := fmt.Sprintf(`[node]
id = %s
zone = %s
grace = 6s

[direct]
listen = %s
ready = %s
admin = %s
relay = %s
relay-listen = %s
link-rate = 1000.0
seeds = %s
regions = %s
cold-overage = 1.5
cold-slack = 5
retry-share = 0.2
retry-slack = 56
exposure-share = 0.1
exposure-slack = 50
rollback = 5000ms

[platform]
kv = %s
timeout = 2s
`, v.name, v.zone, v.callers, v.ready, v.adminURL, v.relay, v.own, strings.Join(seeds, ","), strings.Join(regions, ","), v.storeLink.addr)
		v.settings = filepath.Join(d.dir, v.name+".ini")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.startProcess(v); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startProcess(v *vm) error {
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command("target/sw-node", "--config", v.settings)
	v.cmd.Stdout, v.cmd.Stderr, v.log = log, log, log
	v.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // a VM has one core
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

// awaitReady waits until all VMs are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", v.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (v *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/v1/ready", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes of the system.
func (d *deployment) stop() {
	for _, v := range d.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// service is a service of the configuration.
func service(name string, connections int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}
}

// configText returns the operator's configuration.
func configText(version int, routes, services []map[string]any) string {
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(text)
}

// allRuns returns the executions so far.
func (d *deployment) allRuns() []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]run(nil), d.runs...)
}

// hasRun reports whether a replica has run a request.
func (d *deployment) hasRun(id string) bool {
	for _, x := range d.allRuns() {
		if x.id == id {
			return true
		}
	}
	return false
}
