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

// Settings holds the settings of all processes of one VM.
type Settings struct {
	Node     Node
	Entry    Entry
	Egress   Egress
	Control  Control
	Direct   Direct
	Usage    Usage
	Platform Platform
	TLS      TLS
	Log      Log
	Trace    Trace
}

// Node identifies the VM and its location.
type Node struct {
	Fleet string
	ID    string
	Zone  string
	Grace time.Duration // limit of a graceful shutdown
	// AdminConnections is the number of connections that may be open at each address for
	// operators and for the load balancer's checks.
	AdminConnections int
}

// Entry configures sw-entry.
type Entry struct {
	Listen      string // HTTP from callers
	Admin       string
	MaxBody     int // bytes
	PickPolicy  string
	Hedging     bool
	Admission   bool
	MaxInFlight int // requests
	// Memory, Descriptors and ConnectionBuffer are as those of Direct.
	Memory           float64
	Descriptors      int
	ConnectionBuffer int
}

// Egress configures sw-egress.
type Egress struct {
	Listen         string // for peers
	Admin          string
	Limits         bool          // adaptive concurrency limits and cold start of replicas
	StatusInterval time.Duration // between polls of an upstream's status
	SilentAfter    time.Duration // time without bytes after which a busy connection is probed
}

// Control configures sw-control.
type Control struct {
	Listen            string // for peers
	Admin             string
	HeartbeatInterval time.Duration
	Relays            int // VMs of a zone that read from the platform
}

// Direct configures sw-node.
type Direct struct {
	Listen string // HTTP from callers
	Ready  string // readiness, for the load balancer
	Admin  string // /vars, /metrics, /live and /ready
	Relay  string // for other VMs that read the store through this one
	// RelayListen is what the VM listens on for other VMs; "": Relay.
	RelayListen string
	LinkRate    float64           // of the VM's own link, in Mbit/s; 0: not known
	Seeds       []string          // relay addresses of other VMs
	Regions     map[string]string // region of each availability zone
	// ColdOverage and ColdSlack raise the fleet-wide limit on requests to a cold
	// replica: its rate is multiplied by ColdOverage, and ColdSlack requests per
	// second are added.
	ColdOverage float64
	ColdSlack   float64
	// RetryShare and RetrySlack set the fleet-wide limit on extra attempts: a
	// share of the requests, plus a fixed number.
	RetryShare float64
	RetrySlack float64
	// Rules names the parts of the platform's rules that are in force. Some of them switch
	// on decisions that only some deployments need.
	Rules []string
	// Rejections states for which replicas a rejection counts as missing capacity, which
	// the VMs share: auto, on or off.
	Rejections string
	// ExposureShare and ExposureSlack set the fleet-wide limit on what a new version
	// gets before it is known to be good: a share of the requests to its pool, plus a
	// fixed number. Rollback is the time in which a bad one gets no more.
	ExposureShare float64
	ExposureSlack float64
	Rollback      time.Duration
	// Memory is the memory of the VM in MB, and Descriptors the number of file
	// descriptors that the process may open; 0: what the machine says.
	Memory      float64
	Descriptors int
	// ConnectionBuffer is the bytes that the kernel holds for a caller's connection in each
	// direction; 0: as many as it decides.
	ConnectionBuffer int
	HeaderFields     int // header lines of a request; 0: no limit of its own
	UpstreamBytes    int // of bodies in flight to one replica; 0: no limit
	// Revocation is the time in which an API key that was taken away is no longer
	// accepted by any VM; 0: no such bound.
	Revocation time.Duration
	// Admission is "on", "off" or "auto"; see direct.Mode.
	Admission string
	// ZoneShare is "on", "off" or "auto"; see direct.Mode. ZonePrice and
	// RegionPrice are the waiting times that a request accepts to keep a megabyte from
	// crossing zones or regions.
	ZoneShare   string
	ZonePrice   time.Duration
	RegionPrice time.Duration
}

// Usage configures the reports of usage by team to the platform.
type Usage struct {
	Duties    []string      // names of the duties that the platform expects of the fleet
	Service   string        // IP:port; "": none
	CallRate  float64       // calls a second that the service takes from all VMs together; 0: not known
	Window    time.Duration // of wall-clock time that a report covers
	Due       time.Duration // after the end of its window
	Tolerance float64       // share by which a count may be off
	Lease     time.Duration // in which two VMs may not report in turn
}

// Platform configures the use of the platform's services.
type Platform struct {
	KV      string // IP:port
	VMs     string // IP:port
	Timeout time.Duration
	Prefix  string // of all store keys
}

// TLS names the files for mutual TLS between processes. Empty names mean plain
// TCP.
type TLS struct {
	Cert string
	Key  string
	CA   string
}

// Log configures logging.
type Log struct {
	Level  string
	Format string
}

// Trace configures tracing.
type Trace struct {
	Exporter string
	Endpoint string
	Ratio    float64
}

// The upper bounds of settings.
const (
	maxDuration = time.Hour
	maxBodySize = 7 << 20 // bytes; fits into one frame between processes
	maxRequests = 1 << 20
	maxRelays   = 16
	maxFactor   = 1 << 20
	// The least is several packets, the most what any link needs.
	minConnectionBuffer = 4 << 10
	maxConnectionBuffer = 16 << 20
	// maxDescriptors is the largest number of file descriptors that Linux allows a process.
	maxDescriptors = 1 << 30
)

// field describes one key: its section and name, its default as text, the
// comment that WriteDefault writes above it, and how it is read.
type field struct {
	section string
	key     string
	def     string
	doc     string
	read    func(r *inifile.Reader, key, def string, s *Settings)
}

// Load reads and parses the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses the text of a settings file. Its error is an *inifile.Error that
// uses name as the file name.
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

// Default returns the settings of an empty file. Keys without a default are left
// empty.
func Default() *Settings {
	s, _ := Parse("default", nil)
	return s
}

// WriteDefault writes a settings file with every key, its comment and its default.
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
