package tables

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

// Limits of the tables.
const (
	MaxTextBytes   = 4 << 20
	MaxRoutes      = 4096
	MaxPools       = 4096
	MaxUpstreams   = 50_000 // in all pools
	MaxNameBytes   = 64
	maxShards      = 4096
	maxSlots       = 100_000
	maxConnections = 1_000_000
)

// The kinds of sections.
const (
	sectionFleet = "fleet"
	sectionRoute = "route"
	sectionPool  = "pool"
)

// Source is one file of the tables.
type Source struct {
	Name string // appears in problems
	Text []byte
}

// parser collects the sections and problems of all files.
type parser struct {
	errs   *inifile.Error
	tables *Tables

	sections  map[string]*inifile.Section // by header, over all files
	pools     []*inifile.Section
	routes    []*inifile.Section
	fleet     *inifile.Section
	upstreams map[string]string // upstream ID to the place of its definition
	addrs     map[string]string // address to upstream ID
	zones     map[string]bool
}

// Parse reads both tables from one or more files and resolves the names of pools
// in routes. The error is an *inifile.Error that lists every problem found. The
// Text of the result parses to the same tables. Revision and EditID stay zero.
func Parse(files ...Source) (*Tables, error) {
	p := &parser{
		errs:      &inifile.Error{},
		tables:    &Tables{Routes: map[string]*Route{}, Pools: map[string]*Pool{}, ZonesOutOfService: map[string]bool{}},
		sections:  map[string]*inifile.Section{},
		upstreams: map[string]string{},
		addrs:     map[string]string{},
		zones:     map[string]bool{},
	}
	p.readFiles(files)
	if p.errs.OrNil() != nil {
		return nil, p.errs
	}
	for _, sec := range p.pools {
		p.readPool(sec)
	}
	for _, sec := range p.routes {
		p.readRoute(sec)
	}
	if p.fleet != nil {
		p.readFleet(p.fleet)
	}
	p.checkTotals(files)
	if err := p.errs.OrNil(); err != nil {
		return nil, err
	}
	return p.tables, nil
}

// readFiles parses each file and groups the sections by kind.
func (p *parser) readFiles(files []Source) {
	var text []byte
	for _, f := range files {
		parsed, err := inifile.Parse(f.Name, f.Text)
		text = appendText(text, f.Text)
		if err != nil {
			p.addProblems(f.Name, err)
			continue
		}
		for _, sec := range parsed.Sections {
			p.addSection(sec)
		}
	}
	p.tables.Text = text
	if len(text) > MaxTextBytes {
		p.errs.Add(inifile.Problem{
			File:    fileNames(files),
			Message: fmt.Sprintf("the tables are %d bytes long", len(text)),
			Fix:     fmt.Sprintf("keep them to at most %d bytes", MaxTextBytes),
		})
	}
}

func (p *parser) addProblems(file string, err error) {
	if list, ok := err.(*inifile.Error); ok {
		p.errs.Problems = append(p.errs.Problems, list.Problems...)
		return
	}
	p.errs.Add(inifile.Problem{File: file, Message: err.Error(), Fix: "write [section] and key = value lines"})
}

func (p *parser) addSection(sec *inifile.Section) {
	if first, ok := p.sections[sec.Header()]; ok {
		p.fail(sec, "", fmt.Sprintf("duplicate section, first in %s:%d", first.File, first.Line), "merge the two or rename one")
		return
	}
	p.sections[sec.Header()] = sec
	switch {
	case sec.Kind == sectionFleet && sec.Name == "":
		p.fleet = sec
	case sec.Kind == sectionPool && validName(sec.Name):
		p.pools = append(p.pools, sec)
	case sec.Kind == sectionRoute && validName(sec.Name):
		p.routes = append(p.routes, sec)
	case sec.Kind == sectionPool || sec.Kind == sectionRoute:
		p.fail(sec, "", fmt.Sprintf("bad name %q", sec.Name), "write ["+sec.Kind+" NAME]; "+nameRule)
	default:
		p.fail(sec, "", "unknown section", "use [fleet], [route NAME] or [pool NAME]")
	}
}

func (p *parser) fail(sec *inifile.Section, key, message, fix string) {
	p.errs.Add(inifile.Problem{File: sec.File, Line: sec.Line, Section: sec.Header(), Key: key, Message: message, Fix: fix})
}

// readFleet reads the fleet section. It reports an availability zone without
// upstreams, since a misspelt name would leave the intended zone in service.
func (p *parser) readFleet(sec *inifile.Section) {
	r := inifile.NewReader(sec, p.errs)
	for _, zone := range r.List("zones-out") {
		switch {
		case p.tables.ZonesOutOfService[zone]:
			r.Fail("zones-out", fmt.Sprintf("duplicate availability zone %q", zone), "keep one of the two")
		case !p.zones[zone]:
			r.Fail("zones-out", fmt.Sprintf("no upstream is in availability zone %q", zone), "use one of "+sortedNames(p.zones))
		default:
			p.tables.ZonesOutOfService[zone] = true
		}
	}
	r.Finish()
}

func (p *parser) checkTotals(files []Source) {
	checks := []struct {
		what      string
		have, max int
	}{
		{"routes", len(p.routes), MaxRoutes},
		{"pools", len(p.pools), MaxPools},
		{"upstreams", len(p.upstreams), MaxUpstreams},
	}
	for _, c := range checks {
		if c.have > c.max {
			p.errs.Add(inifile.Problem{
				File:    fileNames(files),
				Message: fmt.Sprintf("there are %d %s", c.have, c.what),
				Fix:     fmt.Sprintf("keep at most %d", c.max),
			})
		}
	}
}

// appendText appends a file without its byte order mark, starting on a new line.
func appendText(text, file []byte) []byte {
	file = bytes.TrimPrefix(file, []byte("\ufeff"))
	if len(text) > 0 && text[len(text)-1] != '\n' {
		text = append(text, '\n')
	}
	return append(text, file...)
}

func fileNames(files []Source) string {
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = f.Name
	}
	return strings.Join(names, ", ")
}

func sortedNames(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// nameRule describes for operators what validName accepts.
const nameRule = "names have 1 to 64 letters, digits, '-', '_' or '.'"

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for _, c := range s {
		isWord := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isWord && !strings.ContainsRune("-_.", c) {
			return false
		}
	}
	return true
}
