package swctl_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/rolloutstore"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/swctl"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestSwctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "swctl")
}

const tablesText = `[route counter]
kind = query
pools = ledger
[pool ledger]
shards = 1
slots = 4
connections = 35
upstream.l0-a = 127.0.1.1:9000 zone=a shard=0 version=v1
upstream.l0-b = 127.0.1.2:9000 zone=b shard=0 version=v1
`

var _ = Describe("swctl", func() {
	var (
		server *standinplatform.Server
		addr   string
		dir    string
	)
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, addr, dir = standinplatform.New(), ln.Addr().String(), GinkgoT().TempDir()
		go func() { _ = server.Serve(ln) }()
		DeferCleanup(func() { server.Close() })
	})
	// run runs a command and returns the exit code and the combined output.
	run := func(command string, args ...string) (int, string) {
		var out bytes.Buffer
		all := append([]string{command}, args...)
		if command != "validate" && command != "--help" {
			all = append([]string{command, "--kv", addr, "--vms", addr}, args...)
		}
		code := swctl.Run(context.Background(), all, &out, &out)
		return code, out.String()
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	edited := func(old, with string) string { return strings.Replace(tablesText, old, with, 1) }

	It("validates without a platform and reports file, line and fix", func() {
		code, out := run("validate", file("good.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitOK), out)
		code, out = run("validate", file("bad.ini", edited("slots = 4", "slotz = 4")))
		Expect(code).To(Equal(swctl.ExitInvalid))
		Expect(out).To(ContainSubstring("bad.ini:6: [pool ledger] slotz: unknown key; did you mean slots?"))
		code, out = run("validate", "--json", file("bad.ini", edited("ledger", "leger")))
		Expect(code).To(Equal(swctl.ExitInvalid))
		Expect(out).To(ContainSubstring(`"valid":false`))
	})

	It("prints help, and rejects unknown flags and missing arguments", func() {
		code, out := run("--help")
		Expect(code).To(Equal(swctl.ExitOK))
		Expect(out).To(And(ContainSubstring("Examples:"), ContainSubstring("Exit codes:")))
		for _, args := range [][]string{{"apply", "--nonsense"}, {"apply"}} {
			code, _ = run(args[0], args[1:]...)
			Expect(code).To(Equal(swctl.ExitUsage))
		}
	})

	It("commits, shows, and reports the edit that was committed first in a conflict", func() {
		code, out := run("apply", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitOK), out)
		Expect(out).To(ContainSubstring("accepted: revision 1"))
		_, shown := run("show")
		Expect(shown).To(HavePrefix("; sapphirewall tables, revision 1\n"))
		mine := file("mine.ini", strings.Replace(shown, "slots = 4", "slots = 5", 1))
		theirs := file("theirs.ini", strings.Replace(shown, "connections = 35", "connections = 40", 1))
		code, out = run("apply", theirs)
		Expect(code).To(Equal(swctl.ExitOK), out)
		code, out = run("apply", mine)
		Expect(code).To(Equal(swctl.ExitConflict), out)
		Expect(out).To(ContainSubstring("since your base it changed:\n  [pool ledger] ~ connections: 35 -> 40\n"))
		Expect(out).To(ContainSubstring("  [pool ledger] ~ slots: 4 -> 5"))
		code, out = run("diff", mine)
		Expect(code).To(Equal(swctl.ExitOK))
		Expect(out).To(ContainSubstring("revision 2, 2 changes"))
	})

	It("reports an edit as accepted only if it is, also if the reply is lost", func() {
		server.SetFaults(standinplatform.Faults{LoseReplies: 2})
		code, out := run("apply", "--edit-id", "e1", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitOK), out)
		Expect(out).To(ContainSubstring("accepted: revision 1 (edit e1)"))
		code, out = run("apply", "--edit-id", "e1", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitOK))
		Expect(out).To(ContainSubstring("revision 1"))
		server.SetFaults(standinplatform.Faults{LoseRequests: 1 << 30})
		args := []string{"--edit-id", "e2", "--timeout", "300ms", file("u.ini", edited("slots = 4", "slots = 5"))}
		code, _ = run("apply", args...)
		Expect(code).To(Equal(swctl.ExitFailed), "only writes of pieces were attempted")
		server.SetFaults(standinplatform.Faults{Down: true})
		code, out = run("apply", args...)
		Expect(code).To(Equal(swctl.ExitFailed))
		Expect(out).NotTo(ContainSubstring("accepted: "))
	})

	It("refuses to leave a pool without upstreams unless warnings are accepted", func() {
		out := edited("[route", "[fleet]\nzones-out = a, b\n[route")
		code, text := run("apply", file("t.ini", out))
		Expect(code).To(Equal(swctl.ExitWarnings))
		Expect(text).To(ContainSubstring("pool ledger has no upstream left for new work"))
		code, text = run("apply", "--accept-warnings", file("t.ini", out))
		Expect(code).To(Equal(swctl.ExitOK), text)
	})

	It("prints each revision and each rollout outcome once", func() {
		_, _ = run("apply", file("t.ini", tablesText))
		store := rolloutstore.Store{KV: server, Prefix: "sapphirewall/"}
		start := time.Unix(0, 0)
		next := rolloutstore.Record{Pool: "ledger", Version: "v2", Start: start, Fence: 1}
		seen, err := store.SetFence(context.Background(), rolloutstore.Record{}, next)
		Expect(err).NotTo(HaveOccurred())
		next.Phase, next.Reason = rolloutstore.RolledBack, "errors"
		_, err = store.Put(context.Background(), seen, next)
		Expect(err).NotTo(HaveOccurred())
		code, out := run("watch", "--events", "2")
		Expect(code).To(Equal(swctl.ExitOK), out)
		Expect(strings.Split(strings.TrimSpace(out), "\n")).To(ConsistOf(
			HavePrefix("tables: revision 1 "), Equal("rollout of pool ledger to v2: taken-back, errors")))
	})

	It("waits for every reachable node and distinguishes lagging from cut-off nodes", func() {
		node := func(name string, revision uint64) string {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			s := peer.Serve(ln, peer.Options{Self: peer.Identity{Fleet: "sapphirewall", Node: name}}, peer.HandlerFunc(
				func(context.Context, peer.Identity, *swpb.Envelope) (*swpb.Envelope, error) {
					return &swpb.Envelope{Body: &swpb.Envelope_StatusReply{StatusReply: &swpb.StatusReply{Node: name, Revision: revision, Members: []*swpb.Member{
						{Node: "vm-1", Zone: "a", State: swpb.MemberState_MEMBER_STATE_ALIVE},
						{Node: "vm-2", Zone: "b", State: swpb.MemberState_MEMBER_STATE_ALIVE},
						{Node: "vm-3", Zone: "b", State: swpb.MemberState_MEMBER_STATE_GONE},
					}}}}, nil
				}))
			DeferCleanup(s.Close)
			return s.Addr()
		}
		code, out := run("apply", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitOK), out)
		list := []platform.VM{{ID: "vm-1", Zone: "a", Kind: platform.KindSystem, Control: node("vm-1", 1)}, {ID: "vm-3", Zone: "b", Kind: platform.KindSystem, Control: "127.0.0.1:1"}}
		server.SetVMs(list)
		code, out = run("status")
		Expect(code).To(Equal(swctl.ExitOK), out)
		Expect(out).To(MatchRegexp(`vm-2 .* unreachable`))
		Expect(out).To(MatchRegexp(`vm-3 .* cut-off`))
		list = append(list, platform.VM{ID: "vm-2", Zone: "b", Kind: platform.KindSystem, Control: node("vm-2", 0)})
		server.SetVMs(list)
		code, out = run("apply", "--wait", "--timeout", "1s", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitNotInForce), out)
		Expect(out).To(MatchRegexp(`revision 1 is not in force on:\n  vm-2 .* lagging`))
		Expect(out).NotTo(ContainSubstring("vm-3"))
		// A platform restored to an earlier state has a lower revision than the nodes.
		server.SetVMs([]platform.VM{{ID: "vm-9", Zone: "a", Kind: platform.KindSystem, Control: node("vm-9", 7)}})
		code, out = run("apply", "--wait", "--timeout", "1s", file("t.ini", tablesText))
		Expect(code).To(Equal(swctl.ExitNotInForce), out)
		Expect(out).To(And(ContainSubstring("nodes have 7 in force"), ContainSubstring("revision 8 is not in force")))
		code, out = run("apply", file("u.ini", edited("slots = 4", "slots = 5")))
		Expect(code).To(Equal(swctl.ExitOK), out)
		Expect(out).To(And(Not(ContainSubstring("set back")), ContainSubstring("accepted: revision 9")))
	})
})
