package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// The files in the directory of a deployment.
const (
	DescriptionFile = "deployment.ini"
	TablesFile      = "tables.ini"
	SettingsFile    = "settings.ini"
)

// Deployment is the description of a deployment, with its tables and settings.
type Deployment struct {
	Name         string
	Zones        []string
	VMs          int // assigned to the zones in turn
	InterZoneRTT time.Duration
	CallerRTT    time.Duration // round-trip time between callers and VMs
	ServiceTimes map[string]standin.ServiceTime
	Routes       []load.Route
	Tables       *tables.Tables
	Settings     *settings.Settings
}

// Limits and defaults of the description.
const (
	maxVMs          = 64
	maxRTT          = time.Second
	maxServiceTime  = 10 * time.Second
	maxRate         = 100_000
	defaultVMs      = 9
	percent         = 100
	maxSigmaPercent = 300
)

// Load reads the deployment in the directory dir.
func Load(dir string) (*Deployment, error) {
	d := &Deployment{ServiceTimes: map[string]standin.ServiceTime{}}
	text, err := os.ReadFile(filepath.Join(dir, DescriptionFile))
	if err != nil {
		return nil, eris.Wrap(err, "read deployment")
	}
	if err := d.parse(filepath.Join(dir, DescriptionFile), text); err != nil {
		return nil, err
	}
	text, err = os.ReadFile(filepath.Join(dir, TablesFile))
	if err != nil {
		return nil, eris.Wrap(err, "read tables")
	}
	if d.Tables, err = tables.Parse(tables.Source{Name: filepath.Join(dir, TablesFile), Text: text}); err != nil {
		return nil, err
	}
	if d.Settings, err = settings.Load(filepath.Join(dir, SettingsFile)); err != nil {
		return nil, err
	}
	return d, d.resolveNames()
}

// parse reads the description file.
func (d *Deployment) parse(name string, text []byte) error {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return err
	}
	errs := &inifile.Error{}
	for _, sec := range f.Sections {
		r := inifile.NewReader(sec, errs)
		switch sec.Kind {
		case "deployment":
			d.Name = r.Required("name", "a word")
			d.Zones = r.List("zones")
			d.VMs = r.Int("vms", defaultVMs, 1, maxVMs)
			d.InterZoneRTT = r.Duration("between-zones", 0, 0, maxRTT)
			d.CallerRTT = r.Duration("to-callers", 0, 0, maxRTT)
		case "load":
			d.Routes = append(d.Routes, load.Route{
				Name: sec.Name, PerSecond: float64(r.Int("per-second", 1, 1, maxRate)), Repeat: r.Percent("repeat", 0),
			})
		case "service":
			mean := r.Duration("mean", standin.DefaultMean, time.Microsecond, maxServiceTime)
			sigma := r.Int("sigma-percent", int(standin.DefaultSigma*percent), 0, maxSigmaPercent)
			d.ServiceTimes[sec.Name] = standin.ServiceTime{Mean: mean, Sigma: float64(sigma) / percent}
		default:
			errs.Add(inifile.Problem{File: name, Line: sec.Line, Section: sec.Header(), Message: "unknown section", Fix: "use deployment, load NAME or service NAME"})
		}
		r.Finish()
	}
	return errs.OrNil()
}

// resolveNames checks the names of routes and pools against the tables, and sets
// the kind and the deadline of each route from them.
func (d *Deployment) resolveNames() error {
	if len(d.Zones) == 0 {
		return fmt.Errorf("deployment %q: key zones is missing or empty", d.Name)
	}
	for i := range d.Routes {
		route := d.Tables.Routes[d.Routes[i].Name]
		if route == nil {
			return fmt.Errorf("deployment %q: route %q is not in the tables", d.Name, d.Routes[i].Name)
		}
		d.Routes[i].Action = route.Kind == tables.Action
		d.Routes[i].Deadline = route.Deadline
	}
	for name := range d.ServiceTimes {
		if d.Tables.Pools[name] == nil {
			return fmt.Errorf("deployment %q: pool %q is not in the tables", d.Name, name)
		}
	}
	return nil
}

// The ports of a VM; each VM has an IP of its own.
const (
	entryPort   = 7000
	egressPort  = 7010
	controlPort = 7020
)

// firstZoneOctet is the second byte of the VMs' addresses in the first zone; each
// further zone has the next value.
const firstZoneOctet = 20

// VMSettings returns the settings of each VM. The second byte of its addresses
// encodes its zone, which ZoneOf reads.
func (d *Deployment) VMSettings(platformAddr string) []*settings.Settings {
	var out []*settings.Settings
	for i := range d.VMs {
		zone := i % len(d.Zones)
		ip := fmt.Sprintf("127.%d.0.%d", firstZoneOctet+zone, i+1)
		s := *d.Settings
		s.Node.ID = fmt.Sprintf("%s-%d", d.Name, i+1)
		s.Node.Zone = d.Zones[zone]
		s.Entry.Listen = fmt.Sprintf("%s:%d", ip, entryPort)
		s.Egress.Listen = fmt.Sprintf("%s:%d", ip, egressPort)
		s.Control.Listen = fmt.Sprintf("%s:%d", ip, controlPort)
		s.Platform.KV, s.Platform.VMs = platformAddr, platformAddr
		out = append(out, &s)
	}
	return out
}

// ZoneOf returns the zone of a VM's address, or "" for any other address.
func (d *Deployment) ZoneOf(addr string) string {
	parts := strings.SplitN(addr, ".", 3)
	if len(parts) < 3 {
		return ""
	}
	for i, z := range d.Zones {
		if parts[1] == fmt.Sprint(firstZoneOctet+i) {
			return z
		}
	}
	return ""
}

// OneWayDelay returns the network delay from a zone to an address: half of
// InterZoneRTT to a VM in another zone, else 0.
func (d *Deployment) OneWayDelay(zone, addr string) time.Duration {
	if other := d.ZoneOf(addr); other == "" || other == zone {
		return 0
	}
	return d.InterZoneRTT / 2
}

// PoolNames returns the sorted names of the pools.
func (d *Deployment) PoolNames() []string {
	out := make([]string, 0, len(d.Tables.Pools))
	for name := range d.Tables.Pools {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
