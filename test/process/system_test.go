package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	deadline = 300 * time.Millisecond
	patience = "20s"
)

// system is a set of processes on two VMs with their surroundings.
type system struct {
	dir     string
	tables  *tables.Tables
	kv      string
	admin   string
	entries []string
	args    map[string][]string
	running map[string]*exec.Cmd
	asked   int
}

// newSystem builds the binaries, writes the files, starts every process and
// applies the tables.
func newSystem() *system {
	s := &system{dir: GinkgoT().TempDir(), args: map[string][]string{}, running: map[string]*exec.Cmd{}}
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
	text, err := deployment.RenderTables(routesText, pools, zones, func(string) (string, error) { return addrs.Next() })
	Expect(err).NotTo(HaveOccurred())
	s.tables, err = tables.Parse(tables.Source{Name: "tables.ini", Text: text})
	Expect(err).NotTo(HaveOccurred())
	s.write("tables.ini", string(text))
	s.kv, s.admin = next(), next()
	vms := next()
	standinArgs := []string{"sw-standin", "--tables", s.path("tables.ini"), "--kv", s.kv, "--vms", vms, "--admin", s.admin}
	for i, zone := range zones {
		id := fmt.Sprintf("vm-%d", i+1)
		entry, control := next(), next()
		s.entries = append(s.entries, entry)
		s.write(id+".ini", fmt.Sprintf("[node]\nid = %s\nzone = %s\ngrace = 2s\n[entry]\nlisten = %s\nadmin = %s\n[egress]\nlisten = %s\nadmin = %s\n[control]\nlisten = %s\nadmin = %s\n[platform]\nkv = %s\nvms = %s\n",
			id, zone, entry, next(), next(), next(), control, next(), s.kv, vms))
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

func (s *system) write(name, text string) {
	Expect(os.WriteFile(s.path(name), []byte(text), 0o600)).To(Succeed())
}

func (s *system) start(name string) {
	args := s.args[name]
	cmd := exec.Command(s.path(args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	s.running[name] = cmd
}

// kill ends a process without warning.
func (s *system) kill(name string) {
	cmd := s.running[name]
	delete(s.running, name)
	Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait()
}

// terminate ends a process gracefully.
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
	}, patience, "200ms").Should(Succeed())
}

// fault switches a fault of the upstreams.
func (s *system) fault(query string) {
	resp, err := http.Post("http://"+s.admin+standin.PathFault+"?"+query, "", nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// ask sends one request on each route through each entry and returns the
// judgements; a promise that is broken fails the test.
func (s *system) ask(entries ...string) []load.CheckedResult {
	var plan []load.Request
	for i := range len(entries) * len(routes) {
		plan = append(plan, s.shot(i))
	}
	return s.run(plan, entries)
}

// The requests of a stream, and the time over which they are sent.
const (
	streamShots  = 40
	streamLength = 200 * time.Millisecond
)

// stream sends requests on each route through each entry at a steady rate.
func (s *system) stream() []load.CheckedResult {
	var plan []load.Request
	for i := range streamShots {
		shot := s.shot(i)
		shot.At = time.Duration(i) * streamLength / streamShots
		plan = append(plan, shot)
	}
	return s.run(plan, s.entries)
}

// shot is the i-th request of a plan: the routes in turn, at each target.
func (s *system) shot(i int) load.Request {
	s.asked++
	shot := load.Request{Index: i, Route: i % len(routes), Target: i / len(routes), Payload: fmt.Appendf(nil, `{"n":%d}`, s.asked)}
	if routes[shot.Route].Action {
		shot.Key = fmt.Sprintf("key-%d", s.asked)
	}
	return shot
}

// run sends a plan and checks every promise on the results.
func (s *system) run(plan []load.Request, entries []string) []load.CheckedResult {
	runner := &load.Runner{Routes: routes, Deadline: deadline}
	runner.SetTargets(entries)
	results := runner.Run(GinkgoT().Context(), plan)
	checker := &load.Checker{Tables: s.tables, Source: evenLayout{s.tables}, Records: s.records()}
	judged := checker.Check(routes, results)
	for _, j := range judged {
		Expect(j.Violations).To(BeEmpty())
	}
	return judged
}

// records fetches what the stand-ins ran; none when they are down.
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

// awaitWhole asks until queries and actions get whole answers through each entry.
func (s *system) awaitWhole(entries ...string) {
	Eventually(func(g Gomega) {
		for _, j := range s.ask(entries...) {
			g.Expect(j.Kind).To(Equal(load.Complete), "%s: %d %s", j.Target, j.Status, j.Body)
		}
	}, patience, "100ms").Should(Succeed())
}

// evenLayout is the layout that sw-standin publishes at its start.
type evenLayout struct{ tables *tables.Tables }

func (e evenLayout) LayoutOf(uint64) (standin.Layout, bool) {
	l := standin.Layout{}
	for name, p := range e.tables.Pools {
		l[name] = standin.EvenBounds(p.Shards)
	}
	return l, true
}
