package settings

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

// Settings are the settings of the processes of one VM.
type Settings struct {
	Node     Node
	Entry    Entry
	Egress   Egress
	Control  Control
	Direct   Direct
	Platform Platform
	TLS      TLS
	Log      Log
	Trace    Trace
}

// Node says who and where the VM is.
type Node struct {
	Fleet string
	ID    string
	Zone  string
	Grace time.Duration // for a graceful shutdown
}

// Entry configures sw-entry.
type Entry struct {
	Listen      string // callers' HTTP
	Admin       string
	MaxBody     int // bytes
	PickPolicy  string
	Hedging     bool
	Admission   bool
	MaxInFlight int // queries
}

// Egress configures sw-egress.
type Egress struct {
	Listen         string // peers
	Admin          string
	Limits         bool          // learned concurrency limits and cold start
	StatusInterval time.Duration // poll of an upstream's status
	SilentAfter    time.Duration // a connection with work and no byte
}

// Control configures sw-control.
type Control struct {
	Listen            string // peers
	Admin             string
	HeartbeatInterval time.Duration
	Relays            int // nodes of a zone that talk to the platform
}

// Direct configures sw-node.
type Direct struct {
	Listen  string            // callers' HTTP
	Ready   string            // the balancer's question
	Admin   string            // /vars, /metrics, /live and /ready
	Relay   string            // other VMs
	Seeds   []string          // relay addresses of other VMs
	Regions map[string]string // availability zone to region, of all zones
	// ColdOverage and ColdSlack widen the rate that a cold replica bears from
	// all VMs: a factor and a number of requests.
	ColdOverage float64
	ColdSlack   int
	// RetryShare and RetrySlack bound the extra sends of all VMs: a share of the
	// requests and a number beside.
	RetryShare float64
	RetrySlack int
}

// Platform says where the platform's services are.
type Platform struct {
	KV      string // IP:port
	VMs     string // IP:port
	Timeout time.Duration
	Prefix  string // of all keys
}

// TLS names the files for mutual TLS between processes; empty means plain TCP.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Log configures logs.
type Log struct {
	Level  string
	Format string
}

// Trace configures traces.
type Trace struct {
	Exporter string
	Endpoint string
	Ratio    float64
}

// The bounds of settings.
const (
	maxDuration = time.Hour
	maxBodySize = 7 << 20 // fits a frame between processes
	maxQueries  = 1 << 20
	maxRelays   = 16
	maxSlack    = 1 << 20
)

// field is one key: its section, name, default as text, a comment for
// WriteDefault, and how it is read.
type field struct {
	section string
	key     string
	def     string
	doc     string
	read    func(r *inifile.Reader, key, def string, s *Settings)
}

// Load reads the file of a path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads settings text; the error is an *inifile.Error.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	errs := &inifile.Error{}
	s := &Settings{}
	given := map[string]*inifile.Section{}
	for _, sec := range f.Sections {
		given[sec.Header()] = sec
	}
	for _, section := range sectionNames() {
		sec := given[section]
		delete(given, section)
		if sec == nil {
			sec = &inifile.Section{File: name, Kind: section}
		}
		r := inifile.NewReader(sec, errs)
		for _, fd := range fields {
			if fd.section == section {
				fd.read(r, fd.key, fd.def, s)
			}
		}
		r.Finish()
	}
	for _, sec := range f.Sections {
		if given[sec.Header()] != nil {
			errs.Add(inifile.Problem{File: name, Line: sec.Line, Section: sec.Header(), Message: "unknown section", Fix: "use one of " + strings.Join(sectionNames(), ", ")})
		}
	}
	return s, errs.OrNil()
}

// Default returns the settings of an empty file, but for the keys without a
// default, which are left empty.
func Default() *Settings {
	s, _ := Parse("default", nil)
	return s
}

// WriteDefault writes the commented default file.
func WriteDefault(w io.Writer) error {
	var b strings.Builder
	b.WriteString("; Settings of the sapphirewall processes of one VM.\n")
	section := ""
	for _, fd := range fields {
		if fd.section != section {
			section = fd.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "; %s\n%s = %s\n", fd.doc, fd.key, fd.def)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// sectionNames returns the sections in the order of fields.
func sectionNames() []string {
	var out []string
	for _, fd := range fields {
		if len(out) == 0 || out[len(out)-1] != fd.section {
			out = append(out, fd.section)
		}
	}
	return out
}
