package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/inifile"
)

// The comments of keys that two sections have.
const (
	memoryComment           = "Memory of the VM in MB; 0: that of the machine, or the limit of the process if that is lower."
	descriptorsComment      = "File descriptors that the process may open; 0: the limit of the process."
	connectionBufferComment = "Bytes that the kernel holds for a caller's connection in each direction: of requests that have not been read, and of answers that the caller has not acknowledged. While a large request comes in, more are drawn from the memory for requests; the next answer waits until the caller has taken the former one. 0: as many as the kernel decides."
)

// fields lists every key in the order of the default file. The keys of a section
// must be adjacent.
var fields = []field{
	{"node", "fleet", "sapphirewall", "Name of the fleet; connections from processes of other fleets are rejected.", text(func(s *Settings) *string { return &s.Node.Fleet })},
	{"node", "id", "vm-1", "Name of this VM, unique in the fleet.", text(func(s *Settings) *string { return &s.Node.ID })},
	{"node", "zone", "zone-1", "Availability zone of this VM.", text(func(s *Settings) *string { return &s.Node.Zone })},
	{"node", "grace", "30s", "Longest time that a graceful shutdown may take.", duration(time.Second, func(s *Settings) *time.Duration { return &s.Node.Grace })},
	{"node", "admin-connections", "16", "Connections that may be open at each address for operators and for the load balancer's checks; for a further one, the one that has been idle longest is closed.", number(1, maxRequests, func(s *Settings) *int { return &s.Node.AdminConnections })},

	{"entry", "listen", "127.0.0.1:7000", "Address for callers, IP:port.", addr(func(s *Settings) *string { return &s.Entry.Listen })},
	{"entry", "admin", "127.0.0.1:7001", "Address of /vars, /live and /ready, IP:port.", addr(func(s *Settings) *string { return &s.Entry.Admin })},
	{"entry", "max-body", "1048576", "Largest request body, in bytes.", number(1, maxBodySize, func(s *Settings) *int { return &s.Entry.MaxBody })},
	{"entry", "pick-policy", "two-choices", "How a replica is chosen: two-choices, or round-robin for comparison.", choice(func(s *Settings) *string { return &s.Entry.PickPolicy }, "two-choices", "round-robin")},
	{"entry", "hedging", "yes", "Send a hedge for a part whose answer is late: yes or no.", yesNo(func(s *Settings) *bool { return &s.Entry.Hedging })},
	{"entry", "admission", "yes", "Refuse at once any request that can't be answered in time: yes or no.", yesNo(func(s *Settings) *bool { return &s.Entry.Admission })},
	{"entry", "max-in-flight", "10000", "Requests in flight at once; further requests are refused.", number(1, maxRequests, func(s *Settings) *int { return &s.Entry.MaxInFlight })},
	{"entry", "memory", "0", memoryComment, factor(func(s *Settings) *float64 { return &s.Entry.Memory })},
	{"entry", "descriptors", "0", descriptorsComment, number(0, maxDescriptors, func(s *Settings) *int { return &s.Entry.Descriptors })},
	{"entry", "connection-buffer", "8192", connectionBufferComment, optional(minConnectionBuffer, maxConnectionBuffer, func(s *Settings) *int { return &s.Entry.ConnectionBuffer })},

	{"egress", "listen", "127.0.0.1:7010", "Address for peers, IP:port.", addr(func(s *Settings) *string { return &s.Egress.Listen })},
	{"egress", "admin", "127.0.0.1:7011", "Address of /vars, /live and /ready, IP:port.", addr(func(s *Settings) *string { return &s.Egress.Admin })},
	{"egress", "limits", "yes", "Concurrency limit and cold start of each replica: yes, or no for comparison.", yesNo(func(s *Settings) *bool { return &s.Egress.Limits })},
	{"egress", "status-interval", "500ms", "Time between two polls of an upstream's status.", duration(10*time.Millisecond, func(s *Settings) *time.Duration { return &s.Egress.StatusInterval })},
	{"egress", "silent-after", "100ms", "Time without a byte after which a busy connection may be stalled and is probed.", duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.Egress.SilentAfter })},

	{"control", "listen", "127.0.0.1:7020", "Address for peers and swctl, IP:port.", addr(func(s *Settings) *string { return &s.Control.Listen })},
	{"control", "admin", "127.0.0.1:7021", "Address of /vars, /live and /ready, IP:port.", addr(func(s *Settings) *string { return &s.Control.Admin })},
	{"control", "heartbeat-interval", "500ms", "Time between two heartbeats to a peer.", duration(10*time.Millisecond, func(s *Settings) *time.Duration { return &s.Control.HeartbeatInterval })},
	{"control", "relays", "2", "Number of VMs in each availability zone that read from the platform.", number(1, maxRelays, func(s *Settings) *int { return &s.Control.Relays })},

	{"direct", "listen", "127.0.0.1:7030", "Address of sw-node for callers, IP:port.", addr(func(s *Settings) *string { return &s.Direct.Listen })},
	{"direct", "ready", "127.0.0.1:7031", "Address of sw-node at which the load balancer checks readiness, IP:port.", addr(func(s *Settings) *string { return &s.Direct.Ready })},
	{"direct", "admin", "127.0.0.1:7032", "Address of /vars, /metrics, /live and /ready of sw-node, IP:port.", addr(func(s *Settings) *string { return &s.Direct.Admin })},
	{"direct", "relay", "127.0.0.1:7033", "Address of sw-node at which other VMs read the store through it, IP:port.", addr(func(s *Settings) *string { return &s.Direct.Relay })},
	{"direct", "relay-listen", "", "Address to listen on for other VMs, if it isn't that of [direct] relay, as behind a port that is forwarded: IP:port.", optionalAddr(func(s *Settings) *string { return &s.Direct.RelayListen })},
	{"direct", "link-rate", "0", "Rate of the VM's own link in Mbit/s; 0: not known. It bounds what may wait in the link.", factor(func(s *Settings) *float64 { return &s.Direct.LinkRate })},
	{"direct", "seeds", "", "Relay addresses of some VMs, used if the platform can't be reached at startup: IP:port, IP:port.", addrs(func(s *Settings) *[]string { return &s.Direct.Seeds })},
	{"direct", "regions", "zone-1=region-1", "Region of each availability zone: zone=region, zone=region.", pairs(func(s *Settings) *map[string]string { return &s.Direct.Regions })},
	{"direct", "cold-overage", "1", "Factor by which the fleet-wide rate limit of a cold replica is multiplied; off: no limit.", orOff(maxFactor, factor, func(s *Settings) *float64 { return &s.Direct.ColdOverage })},
	{"direct", "cold-slack", "0", "Requests per second that are added to the fleet-wide rate limit of a cold replica; off: no limit.", orOff(maxFactor, factor, func(s *Settings) *float64 { return &s.Direct.ColdSlack })},
	{"direct", "retry-share", "20%", "Fleet-wide limit on extra attempts to a pool, as a share of its requests; off: no limit.", orOff(1, share, func(s *Settings) *float64 { return &s.Direct.RetryShare })},
	{"direct", "retry-slack", "50", "Extra attempts to a pool within a few seconds that are allowed fleet-wide beyond that share; off: no limit.", orOff(maxFactor, factor, func(s *Settings) *float64 { return &s.Direct.RetrySlack })},
	{"direct", "rules", "", "Parts of the platform's rules that are in force, separated by commas.", list(func(s *Settings) *[]string { return &s.Direct.Rules })},
	{"direct", "rejections", "auto", "Replicas whose rejections count as missing capacity, which VMs share, and not as failures: auto (all if the rules name load that replicas shed, else those that state the pace of their machine), on (all) or off.", choice(func(s *Settings) *string { return &s.Direct.Rejections }, "auto", "on", "off")},
	{"direct", "exposure-share", "10%", "Fleet-wide limit on what a new version gets during its rollout, as a share of the requests to its pool; off: no limit.", orOff(1, share, func(s *Settings) *float64 { return &s.Direct.ExposureShare })},
	{"direct", "exposure-slack", "50", "Requests to a new version during its rollout that are allowed fleet-wide beyond that share; off: no limit.", orOff(maxFactor, factor, func(s *Settings) *float64 { return &s.Direct.ExposureSlack })},
	{"direct", "rollback", "5s", "Time from when a version is known to be bad until it gets no more requests; off: no limit.", orOff(maxDuration, atLeast(time.Second), func(s *Settings) *time.Duration { return &s.Direct.Rollback })},
	{"direct", "memory", "0", memoryComment, factor(func(s *Settings) *float64 { return &s.Direct.Memory })},
	{"direct", "descriptors", "0", descriptorsComment, number(0, maxDescriptors, func(s *Settings) *int { return &s.Direct.Descriptors })},
	{"direct", "connection-buffer", "8192", connectionBufferComment, optional(minConnectionBuffer, maxConnectionBuffer, func(s *Settings) *int { return &s.Direct.ConnectionBuffer })},
	{"direct", "header-fields", "0", "Header lines that a request may have; 0: as many as the configuration's maxHeaderBytes has room for.", number(0, maxRequests, func(s *Settings) *int { return &s.Direct.HeaderFields })},
	{"direct", "upstream-bytes", "33554432", "Bytes of request bodies that this VM may have in flight to one replica; 0: no limit.", number(0, maxDescriptors, func(s *Settings) *int { return &s.Direct.UpstreamBytes })},
	{"direct", "revocation", "off", "Time in which an API key that was taken away is no longer accepted by any VM; off: no such bound.", orOff(0, atLeast(time.Second), func(s *Settings) *time.Duration { return &s.Direct.Revocation })},
	{"direct", "admission", "auto", "Refuse at once requests that the replicas have no room for in time: auto, on or off. With auto, only for pools whose replicas state the pace of their machine.", choice(func(s *Settings) *string { return &s.Direct.Admission }, "auto", "on", "off")},
	{"direct", "zone-share", "auto", "Decide by load which share of the requests leaves the zone, instead of by fixed costs: auto, on or off. With auto, only for pools whose replicas state the pace of their machine.", choice(func(s *Settings) *string { return &s.Direct.ZoneShare }, "auto", "on", "off")},
	{"direct", "zone-price", "500ms", "Waiting time that a request accepts to keep a megabyte from crossing zones; used by zone-share.", duration(0, func(s *Settings) *time.Duration { return &s.Direct.ZonePrice })},
	{"direct", "region-price", "2500ms", "Waiting time that a request accepts to keep a megabyte from crossing regions; used by zone-share.", duration(0, func(s *Settings) *time.Duration { return &s.Direct.RegionPrice })},

	{"usage", "duties", "", "Duties that the platform expects of the fleet, separated by commas.", list(func(s *Settings) *[]string { return &s.Usage.Duties })},
	{"usage", "service", "", "Address of the service that takes usage reports, IP:port; empty: none.", optionalAddr(func(s *Settings) *string { return &s.Usage.Service })},
	{"usage", "call-rate", "0", "Calls a second that this service takes from all VMs together; 0: not known.", factor(func(s *Settings) *float64 { return &s.Usage.CallRate })},
	{"usage", "window", "5s", "Time of the wall clock that a usage report covers.", duration(time.Second, func(s *Settings) *time.Duration { return &s.Usage.Window })},
	{"usage", "due", "10s", "Time after the end of its window in which a usage report is due.", duration(time.Second, func(s *Settings) *time.Duration { return &s.Usage.Due })},
	{"usage", "tolerance", "5%", "Share by which a reported count may be off.", share(func(s *Settings) *float64 { return &s.Usage.Tolerance })},
	{"usage", "lease", "3s", "Time in which no two VMs may report in turn.", duration(time.Second, func(s *Settings) *time.Duration { return &s.Usage.Lease })},

	{"platform", "kv", "127.0.0.1:7100", "Address of the key-value service, IP:port.", addr(func(s *Settings) *string { return &s.Platform.KV })},
	{"platform", "vms", "127.0.0.1:7101", "Address of the service that lists the VMs, IP:port.", addr(func(s *Settings) *string { return &s.Platform.VMs })},
	{"platform", "timeout", "1s", "Time after which a call to the platform counts as unanswered.", duration(time.Millisecond, func(s *Settings) *time.Duration { return &s.Platform.Timeout })},
	{"platform", "prefix", "sapphirewall/", "Prefix of all store keys of this fleet.", text(func(s *Settings) *string { return &s.Platform.Prefix })},

	{"tls", "cert", "", "Certificate file (PEM) for sessions between processes; empty for plain TCP.", text(func(s *Settings) *string { return &s.TLS.Cert })},
	{"tls", "key", "", "Key file (PEM) of the certificate.", text(func(s *Settings) *string { return &s.TLS.Key })},
	{"tls", "ca", "", "File (PEM) with the certificate authorities that sign the peers' certificates.", text(func(s *Settings) *string { return &s.TLS.CA })},

	{"log", "level", "info", "Lowest level that is logged: debug, info, warn or error.", choice(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error")},
	{"log", "format", "json", "Format of log lines: json or console.", choice(func(s *Settings) *string { return &s.Log.Format }, "json", "console")},

	{"trace", "exporter", "none", "Destination of trace spans: none, stdout or otlp.", choice(func(s *Settings) *string { return &s.Trace.Exporter }, "none", "stdout", "otlp")},
	{"trace", "endpoint", "127.0.0.1:4318", "Address for OTLP over HTTP, IP:port.", addr(func(s *Settings) *string { return &s.Trace.Endpoint })},
	{"trace", "ratio", "1%", "Share of traces that are recorded.", percent(func(s *Settings) *float64 { return &s.Trace.Ratio })},
}

type readFunc = func(r *inifile.Reader, key, def string, s *Settings)

func text(target func(*Settings) *string) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) { *target(s) = r.String(key, def) }
}

func addr(target func(*Settings) *string) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) { *target(s) = r.Addr(key, def) }
}

// optionalAddr reads an address, which may be empty.
func optionalAddr(target func(*Settings) *string) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		if r.String(key, def) != "" {
			*target(s) = r.Addr(key, def)
		}
	}
}

// addrs reads a comma-separated list of addresses, which may be empty.
func addrs(target func(*Settings) *[]string) readFunc {
	return func(r *inifile.Reader, key, _ string, s *Settings) {
		var out []string
		for _, item := range r.List(key) {
			if _, err := netip.ParseAddrPort(item); err != nil {
				r.Fail(key, "bad address "+strconv.Quote(item), "write IP:port, IP:port")
				return
			}
			out = append(out, item)
		}
		*target(s) = out
	}
}

func choice(target func(*Settings) *string, options ...string) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) { *target(s) = r.OneOf(key, def, options...) }
}

func yesNo(target func(*Settings) *bool) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) { *target(s) = r.Bool(key, def == "yes") }
}

func number(lo, hi int, target func(*Settings) *int) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		d, _ := strconv.Atoi(def)
		*target(s) = r.Int(key, d, lo, hi)
	}
}

// optional reads a number that is 0 or from lo to hi.
func optional(lo, hi int, target func(*Settings) *int) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		if v, ok := r.Lookup(key); ok && strings.TrimSpace(v) == "0" {
			*target(s) = 0
			return
		}
		number(lo, hi, target)(r, key, def, s)
	}
}

func duration(lo time.Duration, target func(*Settings) *time.Duration) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		d, _ := time.ParseDuration(def)
		*target(s) = r.Duration(key, d, lo, maxDuration)
	}
}

// share reads a percentage or a plain number from 0 to 1.
func share(target func(*Settings) *float64) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		if v, ok := r.Lookup(key); ok {
			if f, err := strconv.ParseFloat(v, 64); err == nil && f >= 0 && f <= 1 {
				*target(s) = f
				return
			}
		}
		percent(target)(r, key, def, s)
	}
}

// factor reads a number from 0 to maxFactor, which may have a fraction.
func factor(target func(*Settings) *float64) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		f, err := strconv.ParseFloat(r.String(key, def), 64)
		if err != nil || !(f >= 0 && f <= maxFactor) {
			r.Fail(key, "bad number "+strconv.Quote(r.String(key, def)), fmt.Sprintf("write a number from 0 to %d, such as 1.5", maxFactor))
			return
		}
		*target(s) = f
	}
}

// off is the value that switches a limit off.
const off = "off"

// orOff reads a limit with read, or off, which stands for unlimited.
func orOff[T any](unlimited T, read func(func(*Settings) *T) readFunc, target func(*Settings) *T) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		if r.String(key, def) == off {
			*target(s) = unlimited
			return
		}
		read(target)(r, key, def, s)
	}
}

// atLeast returns the reader of durations from lo.
func atLeast(lo time.Duration) func(func(*Settings) *time.Duration) readFunc {
	return func(target func(*Settings) *time.Duration) readFunc { return duration(lo, target) }
}

func list(target func(*Settings) *[]string) readFunc {
	return func(r *inifile.Reader, key, _ string, s *Settings) { *target(s) = r.List(key) }
}

// pairs reads a list of the form "name=value, name=value".
func pairs(target func(*Settings) *map[string]string) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		list := r.List(key)
		if _, given := r.Lookup(key); !given {
			list = strings.Split(def, ",")
		}
		out := map[string]string{}
		for _, item := range list {
			name, value, ok := strings.Cut(item, "=")
			if !ok || name == "" || value == "" {
				r.Fail(key, "bad item "+strconv.Quote(item), "write name=value, name=value")
				return
			}
			out[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
		*target(s) = out
	}
}

func percent(target func(*Settings) *float64) readFunc {
	return func(r *inifile.Reader, key, def string, s *Settings) {
		d, _ := strconv.ParseFloat(def[:len(def)-1], 64)
		*target(s) = r.Percent(key, d/100)
	}
}
