package matrix

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cell is one step under one fault. Run brings the fault about on virtual time
// and returns what happened; the promises are checked on it.
type cell struct {
	step  string
	fault string
	run   func(seed uint64) *history
}

// name is the cell's name in docs/FAULTS.md.
func (c cell) name() string { return c.step + " / " + c.fault }

// matrixSeed is the seed of every cell.
const matrixSeed = 20260101

// allCells holds the cells of every part, in the order of registration.
var allCells []cell

// cells registers the cells of one part of the matrix.
func registerCells(part string, list ...cell) bool {
	allCells = append(allCells, list...)
	return Describe(part, func() {
		for _, c := range list {
			It(c.name(), func() {
				Expect(check(c.run(matrixSeed))).To(BeEmpty(), "seed %d", matrixSeed)
			})
		}
	})
}

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	fmt.Printf("fault matrix: %d cells\n", len(allCells))
	RunSpecs(t, "fault matrix")
}

// faultRow is a table row of docs/FAULTS.md: step, fault, proof.
var faultRow = regexp.MustCompile(`(?m)^\| ([a-z][^|]*) \| ([^|]+) \| ([^|]+) \|`)

var _ = Describe("docs/FAULTS.md", func() {
	It("names each cell of the matrix and no cell that doesn't exist", func() {
		page, err := os.ReadFile("../../docs/FAULTS.md")
		Expect(err).NotTo(HaveOccurred())
		existing := map[string]bool{}
		for _, c := range allCells {
			Expect(existing).NotTo(HaveKey(c.name()), "cell registered twice")
			existing[c.name()] = true
		}
		named := map[string]bool{}
		for _, row := range faultRow.FindAllStringSubmatch(string(page), -1) {
			name := strings.TrimSpace(row[1]) + " / " + strings.TrimSpace(row[2])
			proof := strings.TrimSpace(row[3])
			if name == "step / fault" {
				continue
			}
			named[name] = true
			if strings.HasPrefix(proof, "not proved") {
				continue
			}
			if proof == "matrix" {
				Expect(existing).To(HaveKey(name))
				continue
			}
			Expect(testExists(proof)).To(BeTrue(), "no test %q, named for %s", proof, name)
		}
		for name := range existing {
			Expect(named).To(HaveKey(name), "cell missing in docs/FAULTS.md")
		}
	})
})

// testExists reports whether proof, "path/file_test.go: text", names a test
// file that holds the text.
func testExists(proof string) bool {
	file, text, ok := strings.Cut(strings.Trim(proof, "`"), ": ")
	if !ok {
		return false
	}
	body, err := os.ReadFile("../../" + file)
	return err == nil && strings.Contains(string(body), text)
}
