package handover_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/handover"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/internal/vmregistry"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

func TestHandover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handover")
}

// tier serves requests as a test says.
type tier struct {
	mu    sync.Mutex
	cuts  reach.Cuts
	serve func(req *direct.Request) *direct.Answer
	asked []*direct.Request
}

func (t *tier) Serve(req *direct.Request) *direct.Answer {
	t.mu.Lock()
	t.asked = append(t.asked, req)
	serve := t.serve
	t.mu.Unlock()
	return serve(req)
}

func (t *tier) setServe(serve func(req *direct.Request) *direct.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serve = serve
}

func (t *tier) setCuts(c reach.Cuts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cuts = c
}

func (t *tier) Cuts() reach.Cuts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cuts
}

// NeedOf returns the need of a query over two pools, of which one makes an answer, or of
// a request to one of them.
func (t *tier) NeedOf(req *direct.Request) (direct.Need, bool) {
	need := direct.Need{Pools: []string{"p", "q"}, MinParts: 1, Deadline: 2 * time.Second}
	if req.Path == "/p" {
		need.Pools = need.Pools[:1]
	}
	return need, true
}

func (t *tier) Priority(req *direct.Request) (priority, most int) {
	if req.Path == "/late" {
		return 2, 1
	}
	return 1, 1
}

func (t *tier) ProbeCut(context.Context) {}

func (t *tier) Stalled(time.Time) time.Duration { return 0 }

func (t *tier) StartHandover(*direct.Request, string) func(string) { return func(string) {} }

func (t *tier) requests() []*direct.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked
}

// machine is one VM.
type machine struct {
	*handover.Service
	tier     *tier
	node     vmregistry.Node
	server   *peer.Server
	draining atomic.Bool
}

func answered(body string) func(*direct.Request) *direct.Answer {
	return func(*direct.Request) *direct.Answer {
		return &direct.Answer{Reply: &connpool.Reply{Status: 200, Body: []byte(body), Header: []connpool.Header{{Name: "X-Own", Value: "1"}}}}
	}
}

func options(name string) peer.Options {
	return peer.Options{Self: peer.Identity{Fleet: "f", Node: name}}
}

// startVM starts a VM, whose calls are answered by handle, or by its service if that is
// nil.
func startVM(name string, handle peer.HandlerFunc) *machine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &machine{tier: &tier{serve: answered(name)}, node: vmregistry.Node{Name: name, Zone: "z", Addr: ln.Addr().String()}}
	m.Service = handover.New(handover.Config{Self: m.node, Fleet: "f", Regions: map[string]string{"z": "r"}, Draining: m.draining.Load, Log: zerolog.Nop()}, m.tier)
	if handle == nil {
		handle = func(ctx context.Context, from peer.Identity, env *swpb.Envelope) (*swpb.Envelope, error) {
			return m.Handle(ctx, from, env), nil
		}
	}
	m.server = peer.Serve(ln, options(name), handle)
	Expect(m.Start(context.Background(), nil)).To(Succeed())
	DeferCleanup(func() {
		Expect(m.Stop(context.Background())).To(Succeed())
		m.server.Close()
	})
	return m
}

// know lets VMs know each other.
func know(vms ...*machine) {
	var nodes []vmregistry.Node
	for _, m := range vms {
		nodes = append(nodes, m.node)
	}
	for _, m := range vms {
		m.SetNodes(nodes)
	}
}

func request(path string) *direct.Request {
	req := &direct.Request{Path: path, Budget: time.Second, Arrived: time.Now()}
	req.ID, req.Method, req.Host, req.Target, req.Body = "r1", "POST", "h", path+"?x=1", []byte("body")
	req.Header = []connpool.Header{{Name: "X-Caller", Value: "c"}}
	return req
}

// loseAll cuts a VM off from all replicas, and waits until it has asked the others.
func (m *machine) loseAll() {
	m.tier.setCuts(reach.Cuts{All: true})
	time.Sleep(300 * time.Millisecond)
}

var cutAnswer = &direct.Answer{Refusal: verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, "local")}

func local(*direct.Request) *direct.Answer { return cutAnswer }

var _ = Describe("a VM that is cut off from replicas", func() {
	It("hands a request over unchanged, with the time that is left, and returns the answer", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.loseAll()
		req := request("/x")
		req.Arrived = req.Arrived.Add(-400 * time.Millisecond)
		ans := a.Serve(req)
		Expect(string(ans.Reply.Body)).To(Equal("b"))
		Expect(ans.Reply.Header).To(ContainElement(connpool.Header{Name: "X-Own", Value: "1"}))
		got := b.tier.requests()[0]
		Expect(got.Request).To(Equal(req.Request))
		Expect(got.Path).To(Equal("/x"))
		Expect(got.Budget).To(Equal(time.Second))
		Expect(time.Since(got.Arrived)).To(BeNumerically(">=", 400*time.Millisecond))
	})

	It("returns merged parts with their receipts and what is missing", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		want := &direct.Gathered{Receipts: []string{"s1", "s2"}, Missing: 3, Body: []byte("body")}
		b.tier.setServe(func(*direct.Request) *direct.Answer { return &direct.Answer{Gathered: want} })
		a.loseAll()
		Expect(a.Serve(request("/x")).Gathered).To(Equal(want))
	})

	It("returns a refusal with its verdict and the time to come back", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		want := verdict.New(verdict.RanFailed, verdict.UpstreamError, "broken").WithRetryAfter(time.Second)
		b.tier.setServe(func(*direct.Request) *direct.Answer { return &direct.Answer{Refusal: want} })
		a.loseAll()
		Expect(a.Serve(request("/x")).Refusal).To(Equal(want))
	})

	It("takes a reply that another VM passes on with a malformed header for none, and asks no other", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		malformed := &direct.Answer{Reply: &connpool.Reply{Status: 200, Header: []connpool.Header{{Name: "Content Length", Value: "4"}}, Body: []byte("4\r\nbody")}}
		for _, m := range []*machine{b, c} {
			m.tier.setServe(func(*direct.Request) *direct.Answer { return malformed })
		}
		a.loseAll()
		ans := a.Serve(request("/x"))
		Expect(ans.Reply).To(BeNil())
		Expect(ans.Refusal.Outcome).To(Equal(verdict.MayHaveRun))
		Expect(len(b.tier.requests()) + len(c.tier.requests())).To(Equal(1))
	})

	It("asks another VM when one can't take the request", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		a.loseAll()
		b.draining.Store(true)
		for range 10 {
			Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("c"))
		}
	})

	It("serves by itself when the others are cut off too, or of a build that doesn't know the calls", func() {
		old := func(context.Context, peer.Identity, *swpb.Envelope) (*swpb.Envelope, error) {
			return &swpb.Envelope{Body: &swpb.Envelope_StoreReply{StoreReply: &swpb.StoreReply{}}}, nil
		}
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", old)
		know(a, b, c)
		a.tier.setServe(local)
		b.loseAll()
		a.tier.setCuts(reach.Cuts{All: true, Heard: true})
		time.Sleep(300 * time.Millisecond)
		Expect(a.Serve(request("/x"))).To(Equal(cutAnswer))
		Expect(b.tier.requests()).To(BeEmpty())
	})

	It("doesn't hand on a request of another VM", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		b.loseAll()
		reply := b.Help(context.Background(), "a", &swpb.HandoverRequest{RequestId: "r", Target: "/x"})
		Expect(verdict.FromProto(reply.GetRefusal()).Outcome).To(Equal(verdict.NotRun))
		Expect(c.tier.requests()).To(BeEmpty())
	})

	It("says that a request may have run when the VM that has it is lost, and asks no other", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		for _, m := range []*machine{b, c} {
			m.tier.setServe(func(*direct.Request) *direct.Answer {
				m.server.Close()
				time.Sleep(100 * time.Millisecond)
				return answered("lost")(nil)
			})
		}
		a.loseAll()
		Expect(a.Serve(request("/x")).Refusal.Outcome).To(Equal(verdict.MayHaveRun))
		Expect(len(b.tier.requests()) + len(c.tier.requests())).To(Equal(1))
	})

	It("ends the work at the other VM when the caller has left, and when its time is over", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		ended := make(chan struct{}, 2)
		b.tier.setServe(func(req *direct.Request) *direct.Answer {
			<-req.Disconnected
			ended <- struct{}{}
			return cutAnswer
		})
		a.loseAll()
		left := make(chan struct{})
		req := request("/x")
		req.Disconnected = left
		time.AfterFunc(100*time.Millisecond, func() { close(left) })
		Expect(a.Serve(req).Refusal).NotTo(BeNil())
		Eventually(ended).Should(Receive())
		begin := time.Now()
		Expect(a.Serve(request("/x")).Refusal.Cause).To(Equal(verdict.Deadline))
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
		Eventually(ended).Should(Receive())
	})

	It("keeps what needs none of the pools that it is cut off from, and hands over what it could serve in part", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setCuts(reach.Cuts{Pools: map[string]bool{"q": true}})
		time.Sleep(300 * time.Millisecond)
		Expect(string(a.Serve(request("/p")).Reply.Body)).To(Equal("a"))
		Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("b"))
		b.draining.Store(true)
		Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("a"), "in part")
	})

	It("hands over what waited for replicas when the cut was found, with the attempts that are left", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(func(req *direct.Request) *direct.Answer {
			<-req.Leave
			return &direct.Answer{HandOver: &direct.HandOver{MaxAttempts: 1, Refusal: cutAnswer.Refusal}}
		})
		time.AfterFunc(50*time.Millisecond, func() { a.tier.setCuts(reach.Cuts{All: true}) })
		Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("b"))
		Expect(b.tier.requests()[0].MaxAttempts).To(Equal(1))
	})

	It("takes less urgent requests of others only up to a part of its room", func() {
		b := startVM("b", nil)
		release := make(chan struct{})
		b.tier.setServe(func(*direct.Request) *direct.Answer { <-release; return cutAnswer })
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := map[string]int{}
		for _, path := range []string{"/late", "/x"} {
			for range 100 {
				wg.Go(func() {
					reply := b.Help(context.Background(), "a", &swpb.HandoverRequest{RequestId: "r", Target: path})
					if verdict.FromProto(reply.GetRefusal()).Cause == verdict.Overload {
						mu.Lock()
						refused[path]++
						mu.Unlock()
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		close(release)
		wg.Wait()
		Expect(refused["/late"]).To(Equal(100 - 64))
		Expect(refused["/x"]).To(Equal(100 - 64))
	})

	It("asks another VM when the one that has the request loses the replicas too", func() {
		a, b, c := startVM("a", nil), startVM("b", nil), startVM("c", nil)
		know(a, b, c)
		a.loseAll()
		var once sync.Once
		for _, m := range []*machine{b, c} {
			m.tier.setServe(func(req *direct.Request) *direct.Answer {
				first := false
				once.Do(func() { first = true })
				if !first {
					return answered("other")(req)
				}
				m.tier.setCuts(reach.Cuts{All: true})
				<-req.Leave
				return &direct.Answer{HandOver: &direct.HandOver{MaxAttempts: 1, Refusal: cutAnswer.Refusal}}
			})
		}
		Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("other"))
	})

	// Guards against requests that leave at once for VMs that can't help any more: after
	// replicas had reset all requests for seconds, VMs refused sound ones with 502.
	It("serves by itself when the VM that could help is cut off too", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(func(req *direct.Request) *direct.Answer {
			select {
			case <-req.Leave:
				return &direct.Answer{HandOver: &direct.HandOver{MaxAttempts: 1, Refusal: cutAnswer.Refusal}}
			case <-time.After(50 * time.Millisecond):
				return answered("a")(req)
			}
		})
		a.tier.setCuts(reach.Cuts{All: true, Heard: true, Began: time.Now()})
		time.Sleep(300 * time.Millisecond)
		Expect(string(a.Serve(request("/x")).Reply.Body)).To(Equal("b"))
		b.loseAll()
		Eventually(func() string {
			if reply := a.Serve(request("/x")).Reply; reply != nil {
				return string(reply.Body)
			}
			return "refused"
		}, "2s", "100ms").Should(Equal("a"))
	})

	It("refuses at once, as not run, when nobody reaches a replica, until one is heard", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(local)
		b.loseAll()
		a.tier.setCuts(reach.Cuts{All: true, Began: time.Now().Add(-time.Second)})
		time.Sleep(300 * time.Millisecond)
		v := a.Serve(request("/x")).Refusal
		Expect(v.Outcome).To(Equal(verdict.NotRun))
		Expect(v.RetryAfter).To(BeNumerically(">", 0))
		a.tier.setCuts(reach.Cuts{All: true, Heard: true, Began: time.Now().Add(-time.Second)})
		time.Sleep(300 * time.Millisecond)
		Expect(a.Serve(request("/x"))).To(Equal(cutAnswer))
	})

	It("doesn't say that a request has not run when it waited for replicas before", func() {
		a, b := startVM("a", nil), startVM("b", nil)
		know(a, b)
		a.tier.setServe(func(req *direct.Request) *direct.Answer {
			<-req.Leave
			return &direct.Answer{HandOver: &direct.HandOver{MaxAttempts: 1, Refusal: cutAnswer.Refusal}}
		})
		b.tier.setServe(func(*direct.Request) *direct.Answer {
			return &direct.Answer{Refusal: verdict.New(verdict.NotRun, verdict.Overload, "full")}
		})
		time.AfterFunc(50*time.Millisecond, func() { a.tier.setCuts(reach.Cuts{All: true, Began: time.Now()}) })
		Expect(a.Serve(request("/x")).Refusal.Outcome).To(Equal(verdict.MayHaveRun))
	})
})
