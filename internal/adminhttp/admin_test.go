package adminhttp_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/adminhttp"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

func TestAdmin(t *testing.T) {
	g := NewWithT(t)
	telemetry.Map("example").Add("requests", 3)
	a := adminhttp.NewAdmin("127.0.0.1:0", 4, zerolog.Nop())
	g.Expect(a.Start(context.Background(), kernel.New(zerolog.Nop()))).To(Succeed())
	for _, c := range []struct {
		method, path, body, want string
		status                   int
	}{
		{"GET", "/vars", "", `"example"`, 200},
		{"GET", "/metrics", "", "example_requests 3\n", 200},
		{"GET", "/live", "", "live\n", 200},
		{"GET", "/other", "", "not found", 404},
		{"POST", "/live", "a body", "", 413},
	} {
		req, err := http.NewRequest(c.method, "http://"+a.Addr()+c.path, strings.NewReader(c.body))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(ContainSubstring(c.want), c.path)
		if c.path == "/vars" {
			g.Expect(json.Valid(text)).To(BeTrue())
		}
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(resp.StatusCode).To(Equal(c.status), c.path)
	}
	g.Expect(a.Stop(context.Background())).To(Succeed())
}
