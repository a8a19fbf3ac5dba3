package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("RateLimitedLogger", func() {
	It("limits the lines of a kind per second and reports the number of dropped lines", func() {
		var out bytes.Buffer
		b := telemetry.NewRateLimitedLogger(zerolog.New(&out))
		now := time.Unix(1000, 0)
		b.Tick(now)
		for range 1000 {
			b.Info("noisy").Str("id", "x").Msg("again")
		}
		b.Info("other").Msg("once")
		Expect(strings.Count(out.String(), `"kind":"noisy"`)).To(Equal(200))
		Expect(out.String()).To(ContainSubstring(`"kind":"other"`))
		b.Tick(now.Add(time.Second))
		Expect(out.String()).To(ContainSubstring(`"of_kind":"noisy","omitted":800`))
		b.Info("noisy").Msg("a new second")
		Expect(out.String()).To(ContainSubstring("a new second"))
	})
})

// slowWriter blocks writes until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

var _ = Describe("AsyncWriter", func() {
	It("never blocks, buffers a limited number of bytes, and reports the number of dropped lines", func() {
		w := &slowWriter{release: make(chan struct{})}
		a := telemetry.NewAsyncWriter(w)
		line := append(bytes.Repeat([]byte("x"), 1023), '\n')
		begin := time.Now()
		for range 5000 {
			n, err := a.Write(line)
			Expect(n).To(Equal(len(line)))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
		close(w.release)
		a.Close()
		Expect(w.out.Len()).To(BeNumerically("<", 4<<20))
		Expect(w.out.String()).To(ContainSubstring(`"omitted":`))
	})

	It("writes all pending lines in order when it is closed", func() {
		w := &slowWriter{release: make(chan struct{})}
		close(w.release)
		a := telemetry.NewAsyncWriter(w)
		for _, s := range []string{"a\n", "b\n", "c\n"} {
			_, _ = a.Write([]byte(s))
		}
		a.Close()
		a.Close()
		Expect(w.out.String()).To(Equal("a\nb\nc\n"))
	})
})

var _ = It("writes counters as text", func() {
	telemetry.Map("text_test").Add("seen", 3)
	var out bytes.Buffer
	telemetry.WriteText(&out)
	Expect(out.String()).To(ContainSubstring("text_test_seen 3\n"))
})
