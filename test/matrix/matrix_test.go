// Package matrix runs the fault matrix: each cell brings about one fault during
// one step of the system on virtual time and checks the promises of
// docs/PROMISES.md on the recorded history.
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

// cell is one step under one fault. run simulates both on virtual time and
// returns the history on which the promises are checked.
type cell struct {
	step  string
	fault string
	run   func(seed uint64) *history
}

// name returns the cell's name in docs/FAULTS.md.
func (c cell) name() string { return c.step + " / " + c.fault }

// matrixSeed seeds the random numbers of every cell.
const matrixSeed = 20260101

// allCells lists the cells of all parts in the order of their registration.
var allCells []cell

// registerCells adds the cells of one part of the matrix, with one spec each.
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

// faultRow matches a table row of docs/FAULTS.md: step, fault, proof.
var faultRow = regexp.MustCompile(`(?m)^\| ([a-z][^|]*) \| ([^|]+) \| ([^|]+) \|`)

var _ = Describe("docs/FAULTS.md", func() {
	It("names each cell of the matrix and no cell that doesn't exist", func() {
		page, err := os.ReadFile("../../docs/FAULTS.md")
		Expect(err).NotTo(HaveOccurred())
		existing := map[string]bool{}
		for _, c := range allCells {
			Expect(existing).NotTo(HaveKey(c.name()), "cell is registered twice")
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
			Expect(testExists(proof)).To(BeTrue(), "test %q, named as the proof of %s, does not exist", proof, name)
		}
		for name := range existing {
			Expect(named).To(HaveKey(name), "cell is missing in docs/FAULTS.md")
		}
	})
})

// testExists reports whether proof, "path/file_test.go: text", names a test
// file that contains the text.
func testExists(proof string) bool {
	file, text, ok := strings.Cut(strings.Trim(proof, "`"), ": ")
	if !ok {
		return false
	}
	body, err := os.ReadFile("../../" + file)
	return err == nil && strings.Contains(string(body), text)
}
