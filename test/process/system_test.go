package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/deployment"
	"github.com/sapphirewall/sapphirewall/internal/load"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

const routesText = `
[route counter]
kind = query
pools = ledger
deadline = 300ms

[route desk]
kind = action
pools = desk
merge = first
deadline = 300ms
idempotent = no
`

var (
	zones = []string{"zone-a", "zone-b"}
	pools = []deployment.Pool{
		{Name: "ledger", Shards: 4, Replicas: 2, Slots: 4, Connections: 40, ConnectCost: time.Millisecond, ColdSlots: 1},
		{Name: "desk", Shards: 1, Replicas: 2, Slots: 4, Connections: 40, ConnectCost: time.Millisecond, ColdSlots: 1},
	}
	routes = []load.Route{{Name: "counter"}, {Name: "desk", Action: true}}
)

const (
	deadline     = 300 * time.Millisecond
	awaitTimeout = "20s"
)

// system is the processes of two VMs with stand-ins for the platform and the upstreams.
type system struct {
	dir         string
	tables      *tables.Tables
	kv          string
	admin       string
	entries     []string
	entryAdmins []string
	deadline    time.Duration // of requests
	args        map[string][]string
	running     map[string]*exec.Cmd
	numRequests int
}

// newSystem builds the programs, writes their configuration, starts the processes and
// applies the tables.
func newSystem() *system { return newSystemWith(deadline, "") }

// newSystemWith is newSystem with another deadline of requests, and further lines of the
// settings' section [entry].
func newSystemWith(deadline time.Duration, entrySettings string) *system {
	s := &system{deadline: deadline, dir: GinkgoT().TempDir(), args: map[string][]string{}, running: map[string]*exec.Cmd{}}
	build := exec.Command("go", "build", "-o", s.dir, "./cmd/sw-entry", "./cmd/sw-egress", "./cmd/sw-control", "./cmd/swctl", "./cmd/sw-standin")
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	addrs := deployment.NewAddressAllocator()
	next := func() string {
		a, err := addrs.Next()
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	text, err := deployment.RenderTables(strings.ReplaceAll(routesText, "300ms", deadline.String()), pools, zones, func(string) (string, error) { return addrs.Next() })
	Expect(err).NotTo(HaveOccurred())
	s.tables, err = tables.Parse(tables.Source{Name: "tables.ini", Text: text})
	Expect(err).NotTo(HaveOccurred())
	s.writeFile("tables.ini", string(text))
	s.kv, s.admin = next(), next()
	vms := next()
	standinArgs := []string{"sw-standin", "--tables", s.path("tables.ini"), "--kv", s.kv, "--vms", vms, "--admin", s.admin}
	for i, zone := range zones {
		id := fmt.Sprintf("vm-%d", i+1)
		entry, entryAdmin, control := next(), next(), next()
		s.entries, s.entryAdmins = append(s.entries, entry), append(s.entryAdmins, entryAdmin)
		s.writeFile(id+".ini", fmt.Sprintf("[node]\nid = %s\nzone = %s\ngrace = 2s\n[entry]\nlisten = %s\nadmin = %s\n%s[egress]\nlisten = %s\nadmin = %s\n[control]\nlisten = %s\nadmin = %s\n[platform]\nkv = %s\nvms = %s\n",
			id, zone, entry, entryAdmin, entrySettings, next(), next(), control, next(), s.kv, vms))
		for _, program := range []string{"sw-control", "sw-egress", "sw-entry"} {
			s.args[program+" "+id] = []string{program, "--config", s.path(id + ".ini"), "--log-format", "console"}
		}
		standinArgs = append(standinArgs, "--vm", id+","+zone+","+control)
	}
	s.args["sw-standin"] = standinArgs
	DeferCleanup(s.stopAll)
	s.start("sw-standin")
	for name := range s.args {
		if name != "sw-standin" {
			s.start(name)
		}
	}
	s.swctl("apply")
	return s
}

func (s *system) path(name string) string { return filepath.Join(s.dir, name) }

func (s *system) writeFile(name, text string) {
	Expect(os.WriteFile(s.path(name), []byte(text), 0o600)).To(Succeed())
}

func (s *system) start(name string) {
	args := s.args[name]
	cmd := exec.Command(s.path(args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	s.running[name] = cmd
}

// kill ends a process with SIGKILL.
func (s *system) kill(name string) {
	cmd := s.running[name]
	delete(s.running, name)
	Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait()
}

// terminate ends a process with SIGTERM and expects it to exit with status 0.
func (s *system) terminate(name string) {
	cmd := s.running[name]
	delete(s.running, name)
	Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	Expect(cmd.Wait()).To(Succeed())
}

func (s *system) signal(name string, sig syscall.Signal) {
	Expect(s.running[name].Process.Signal(sig)).To(Succeed())
}

func (s *system) stopAll() {
	for _, cmd := range s.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (s *system) swctl(args ...string) {
	args = append(args, "--config", s.path("vm-1.ini"), s.path("tables.ini"))
	Eventually(func() error {
		out, err := exec.Command(s.path("swctl"), args...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("swctl %v: %w: %s", args, err, out)
		}
		return nil
	}, awaitTimeout, "200ms").Should(Succeed())
}

// setFault sets or clears a fault of the upstreams.
func (s *system) setFault(query string) {
	resp, err := http.Post("http://"+s.admin+standin.PathFault+"?"+query, "", nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// sendRequests sends one request per route through each entry and returns the checked
// results. A broken promise fails the test.
func (s *system) sendRequests(entries ...string) []load.CheckedResult {
	var plan []load.Request
	for i := range len(entries) * len(routes) {
		plan = append(plan, s.newRequest(i))
	}
	return s.runPlan(plan, entries)
}

// Number of requests of a stream, and the time over which they are spread.
const (
	streamRequests = 40
	streamLength   = 200 * time.Millisecond
)

// sendStream sends requests on all routes through all entries at a constant rate.
func (s *system) sendStream() []load.CheckedResult {
	var plan []load.Request
	for i := range streamRequests {
		req := s.newRequest(i)
		req.At = time.Duration(i) * streamLength / streamRequests
		plan = append(plan, req)
	}
	return s.runPlan(plan, s.entries)
}

// newRequest returns the i-th request of a plan, which has one request per route for
// each target in turn.
func (s *system) newRequest(i int) load.Request {
	s.numRequests++
	req := load.Request{Index: i, Route: i % len(routes), Target: i / len(routes), Payload: fmt.Appendf(nil, `{"n":%d}`, s.numRequests)}
	if routes[req.Route].Action {
		req.Key = fmt.Sprintf("key-%d", s.numRequests)
	}
	return req
}

// runPlan sends the requests of a plan and checks that no promise is broken.
func (s *system) runPlan(plan []load.Request, entries []string) []load.CheckedResult {
	runner := &load.Runner{Routes: routes, Deadline: s.deadline}
	runner.SetTargets(entries)
	results := runner.Run(GinkgoT().Context(), plan)
	checker := &load.Checker{Tables: s.tables, Source: evenLayout{s.tables}, Records: s.records()}
	checked := checker.Check(routes, results)
	for _, j := range checked {
		Expect(j.Violations).To(BeEmpty())
	}
	return checked
}

// records returns the executions that the stand-ins recorded, or nil if the stand-ins
// are down.
func (s *system) records() []standin.Record {
	resp, err := http.Get("http://" + s.admin + standin.PathRecords)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out []standin.Record
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(b.Bytes(), &out)).To(Succeed())
	return out
}

// awaitComplete sends requests until all routes give complete answers through each
// entry.
func (s *system) awaitComplete(entries ...string) {
	Eventually(func(g Gomega) {
		for _, j := range s.sendRequests(entries...) {
			g.Expect(j.Kind).To(Equal(load.Complete), "%s: %d %s", j.Target, j.Status, j.Body)
		}
	}, awaitTimeout, "100ms").Should(Succeed())
}

// evenLayout is a layout source with the layout that sw-standin publishes when it
// starts: equal key ranges for all shards of a pool.
type evenLayout struct{ tables *tables.Tables }

func (e evenLayout) LayoutOf(uint64) (standin.Layout, bool) {
	l := standin.Layout{}
	for name, p := range e.tables.Pools {
		l[name] = standin.EvenBounds(p.Shards)
	}
	return l, true
}
