package launch_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/settings"
)

func TestLaunch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "launch")
}

var _ = Describe("Program", func() {
	var stdout, stderr bytes.Buffer
	run := func(args ...string) int {
		stdout.Reset()
		stderr.Reset()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p := launch.Program{
			Name: "sw-test", Short: "Test program.", Examples: "  sw-test",
			Admin:    func(*settings.Settings) string { return "127.0.0.1:0" },
			Register: func(*launch.Env) error { return nil },
		}
		return p.Run(ctx, args, &stdout, &stderr)
	}

	It("prints the help, the version and the default settings", func() {
		Expect(run("--help")).To(Equal(launch.ExitOK))
		Expect(stderr.String()).To(ContainSubstring("Examples:"))
		Expect(run("--version")).To(Equal(launch.ExitOK))
		Expect(stdout.String()).To(HavePrefix("sw-test "))
		Expect(run("--print-config")).To(Equal(launch.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("[node]"))
	})

	It("starts and stops", func() {
		Expect(run()).To(Equal(launch.ExitOK))
		Expect(stderr.String()).To(ContainSubstring(`"message":"stopped"`))
	})

	It("rejects invalid flags and settings with distinct exit codes and names the invalid setting", func() {
		Expect(run("--no-such")).To(Equal(launch.ExitUsage))
		Expect(run("--config", "/does/not/exist.ini")).To(Equal(launch.ExitSettings))
		path := filepath.Join(GinkgoT().TempDir(), "sw.ini")
		Expect(os.WriteFile(path, []byte("[entry]\nlisten = x\n"), 0o600)).To(Succeed())
		Expect(run("--config", path)).To(Equal(launch.ExitSettings))
		Expect(stderr.String()).To(ContainSubstring("[entry] listen: bad address"))
	})
})
