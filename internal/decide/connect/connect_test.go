package connect_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sapphirewall/sapphirewall/internal/decide/connect"
)

func TestConnect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connect")
}

var cfg = connect.Config{Connections: 36, Cost: 6 * time.Millisecond}

var _ = Describe("Setups", func() {
	It("opens a burst, then limits new connections to a tenth of the replica's time", func() {
		now := time.Unix(1000, 0)
		s := connect.New(cfg, now)
		opened := 0
		for range 1000 {
			if ok, retryIn := s.Begin(now); ok {
				opened++
				s.Closed()
			} else {
				Expect(retryIn).To(BeNumerically(">", 0))
			}
			now = now.Add(time.Millisecond)
		}
		Expect(time.Duration(opened) * cfg.Cost).To(BeNumerically("<=", time.Second/10+3*cfg.Cost))
		Expect(opened).To(BeNumerically(">=", 15))
	})

	It("opens all connections at once when they cost nothing", func() {
		s, now := connect.New(connect.Config{Connections: 36}, time.Unix(1000, 0)), time.Unix(1000, 0)
		for range 18 {
			now = now.Add(time.Microsecond)
			ok, _ := s.Begin(now)
			Expect(ok).To(BeTrue())
		}
	})

	It("delays the next connection longer after each consecutive failure", func() {
		now := time.Unix(1000, 0)
		s := connect.New(cfg, now)
		var delay time.Duration
		for range 4 {
			ok, _ := s.Begin(now)
			Expect(ok).To(BeTrue())
			s.Failed(now)
			_, retryIn := s.Begin(now)
			Expect(retryIn).To(BeNumerically(">", delay))
			delay = retryIn
			now = now.Add(time.Second)
		}
		Expect(s.Open()).To(BeZero())
	})

	It("keeps two owners within the connections that the replica accepts, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			owners := []*connect.Setups{connect.New(cfg, now), connect.New(cfg, now)}
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				s := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
				switch event := rapid.IntRange(0, 4).Draw(t, "event"); {
				case event < 3:
					s.Begin(now)
				case event == 3 && s.Open() > 0:
					s.Closed()
				case event == 4 && s.Open() > 0:
					s.Failed(now)
				}
				if owners[0].Open()+owners[1].Open() > cfg.Connections || s.Open() < 0 {
					t.Fatalf("two owners have %d and %d connections", owners[0].Open(), owners[1].Open())
				}
			}
		})
	})
})
