// Package layout checks the rules of the source tree: which packages may import which,
// and that decision packages do no I/O, read no clock and start no goroutine.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLayout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "layout")
}

const module = "github.com/sapphirewall/sapphirewall/"

// allowedImports lists the packages of this module that a decision package may import
// besides other decision packages. They hold plain types.
var allowedImports = map[string]bool{"internal/tables": true, "internal/verdict": true}

// forbiddenImports lists standard packages for I/O, logging, locking and cancellation.
// A decision package must not import them.
var forbiddenImports = map[string]bool{"net": true, "net/http": true, "os": true, "log": true, "sync": true, "io/fs": true, "context": true}

// forbiddenCode lists code that reads the clock, uses the global random source or
// starts a goroutine. It must not occur in a decision package.
var forbiddenCode = []string{"time.Now(", "time.Since(", "time.After(", "time.Sleep(", "time.NewTimer(", "time.NewTicker(", "time.Tick(", "rand.Int", "rand.N(", "rand.Perm(", "rand.Shuffle(", "rand.Float64()", "go func", "\tgo "}

func goFiles(root string) []string {
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			out = append(out, path)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return out
}

func imports(path string) []string {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, i := range f.Imports {
		out = append(out, strings.Trim(i.Path.Value, `"`))
	}
	return out
}

var _ = Describe("imports", func() {
	It("keeps decision packages free of I/O, clocks and goroutines", func() {
		for _, path := range goFiles("../../internal/decide") {
			for _, imp := range imports(path) {
				Expect(forbiddenImports).NotTo(HaveKey(imp), path)
				if pkg, ok := strings.CutPrefix(imp, module); ok {
					Expect(isAllowedImport(pkg)).To(BeTrue(), "%s imports %s", path, pkg)
				}
			}
			for _, call := range forbiddenCode {
				Expect(readFile(path)).NotTo(ContainSubstring(call), path)
			}
		}
	})

	It("keeps internal packages from importing programs and tests", func() {
		for _, path := range goFiles("../../internal") {
			for _, imp := range imports(path) {
				Expect(imp).NotTo(HavePrefix(module+"cmd/"), path)
				Expect(imp).NotTo(HavePrefix(module+"test/"), path)
			}
		}
	})
})

func isAllowedImport(pkg string) bool {
	return allowedImports[pkg] || strings.HasPrefix(pkg, "internal/decide/")
}
