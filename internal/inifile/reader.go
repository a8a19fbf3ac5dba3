package inifile

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values from one section and collects problems. A key that
// is absent yields the default. Finish reports the keys that were never read.
type Reader struct {
	sec   *Section
	errs  *Error
	read  map[string]bool
	index map[string]int // index in sec.Keys of the first key of each name
}

// NewReader returns a reader of sec that adds its problems to errs.
func NewReader(sec *Section, errs *Error) *Reader {
	r := &Reader{sec: sec, errs: errs, read: map[string]bool{}, index: make(map[string]int, len(sec.Keys))}
	for i, k := range sec.Keys {
		if _, ok := r.index[k.Name]; !ok {
			r.index[k.Name] = i
		}
	}
	return r
}

// Fail reports a problem with key, at its line or, if it is absent, at the line of
// the section.
func (r *Reader) Fail(key, message, fix string) {
	line := r.sec.Line
	if i, ok := r.index[key]; ok {
		line = r.sec.Keys[i].Line
	}
	r.errs.Add(Problem{File: r.sec.File, Line: line, Section: r.sec.Header(), Key: key, Message: message, Fix: fix})
}

// Lookup returns the raw value of key and marks the key as read.
func (r *Reader) Lookup(key string) (string, bool) {
	r.read[key] = true
	if i, ok := r.index[key]; ok {
		return r.sec.Keys[i].Value, true
	}
	return "", false
}

// String returns the value of key, or def.
func (r *Reader) String(key, def string) string {
	if v, ok := r.Lookup(key); ok {
		return v
	}
	return def
}

// Required returns the value of key and reports a problem if it is absent or
// empty. expect describes the value in the proposed fix.
func (r *Reader) Required(key, expect string) string {
	v, ok := r.Lookup(key)
	if !ok || v == "" {
		r.Fail(key, "key is missing", "add "+key+" = "+expect)
	}
	return v
}

// OneOf returns the value of key, which must be one of options.
func (r *Reader) OneOf(key, def string, options ...string) string {
	v := r.String(key, def)
	for _, o := range options {
		if v == o {
			return v
		}
	}
	r.Fail(key, fmt.Sprintf("unknown value %q", v), "use one of "+strings.Join(options, ", "))
	return def
}

// Bool returns a boolean that is written as yes or no.
func (r *Reader) Bool(key string, def bool) bool {
	d := "no"
	if def {
		d = "yes"
	}
	return r.OneOf(key, d, "yes", "no") == "yes"
}

// Int returns an integer within [lo, hi].
func (r *Reader) Int(key string, def, lo, hi int) int {
	v, ok := r.Lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lo || n > hi {
		r.Fail(key, fmt.Sprintf("bad number %q", v), fmt.Sprintf("write a whole number from %d to %d", lo, hi))
		return def
	}
	return n
}

// Duration returns a duration within [lo, hi], written with its unit as in 300ms.
func (r *Reader) Duration(key string, def, lo, hi time.Duration) time.Duration {
	v, ok := r.Lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		r.Fail(key, fmt.Sprintf("bad duration %q", v), fmt.Sprintf("write a number with a unit from %s to %s, such as 300ms", lo, hi))
		return def
	}
	return d
}

// Percent returns a fraction from 0 to 1 that is written as a percentage, such as
// 5%.
func (r *Reader) Percent(key string, def float64) float64 {
	v, ok := r.Lookup(key)
	if !ok {
		return def
	}
	num, hasUnit := strings.CutSuffix(v, "%")
	f, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
	if !hasUnit || err != nil || !(f >= 0 && f <= 100) {
		r.Fail(key, fmt.Sprintf("bad percentage %q", v), "write a number from 0% to 100%, such as 5%")
		return def
	}
	return f / 100
}

// Time returns a time written as in RFC 3339.
func (r *Reader) Time(key string) (time.Time, bool) {
	v, ok := r.Lookup(key)
	if !ok {
		return time.Time{}, false
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		r.Fail(key, fmt.Sprintf("bad time %q", v), "write it as 2026-12-03T21:00:00Z")
		return time.Time{}, false
	}
	return t, true
}

// List returns the items of a comma-separated list and drops empty ones.
func (r *Reader) List(key string) []string {
	v, _ := r.Lookup(key)
	return SplitList(v)
}

// Addr returns an address of the form IP:port. Host names are not accepted, since
// processes connect by IP address.
func (r *Reader) Addr(key, def string) string {
	v := r.String(key, def)
	if v != "" && !IsAddr(v) {
		r.Fail(key, fmt.Sprintf("bad address %q", v), "write IP:port, such as 127.0.0.1:7000")
	}
	return v
}

// Remaining returns the keys that have not been read yet and marks them as read.
func (r *Reader) Remaining() []Key {
	var out []Key
	for _, k := range r.sec.Keys {
		if !r.read[k.Name] {
			r.read[k.Name] = true
			out = append(out, k)
		}
	}
	return out
}

// Finish reports every key that has not been read as unknown.
func (r *Reader) Finish() {
	known := make([]string, 0, len(r.read))
	for k := range r.read {
		known = append(known, k)
	}
	for _, k := range r.Remaining() {
		r.errs.Add(Problem{
			File: r.sec.File, Line: k.Line, Section: r.sec.Header(), Key: k.Name,
			Message: "unknown key",
			Fix:     suggest(k.Name, known),
		})
	}
}

// SplitList splits a comma-separated list and drops empty items.
func SplitList(v string) []string {
	var out []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// IsAddr reports whether v has the form IP:port.
func IsAddr(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}
