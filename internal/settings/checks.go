package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// namePattern matches names that need no escaping in ids, stream names and URL
// paths. It excludes dots because a dot separates the failure domain from the
// UUID in ids of the form "<failure-domain>.<UUIDv7>".
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var logLevels = []string{"debug", "info", "warning", "error"}

// unitSuffixes lists the units that field names end in and units that are often
// written instead.
var unitSuffixes = []string{
	"milliseconds", "seconds", "minutes", "bytes", "percent", "cores", "milli", "count", "kib", "mib", "gib",
	"kb", "mb", "gb", "ms", "us", "ns", "sec", "min", "pct", "s", "m",
}

func checkName(s string) string {
	if namePattern.MatchString(s) {
		return ""
	}
	return fmt.Sprintf("%q is not a valid name: want 1 to 63 lower-case letters, digits and inner hyphens", s)
}

func checkNotEmpty(s string) string {
	if strings.TrimSpace(s) == "" {
		return "must not be empty"
	}
	return ""
}

func checkLogLevel(s string) string {
	if slices.Contains(logLevels, s) {
		return ""
	}
	return fmt.Sprintf("value out of range: %q is not one of %s", s, strings.Join(logLevels, ", "))
}

// checkListenAddress allows port 0 and the unspecified address.
func checkListenAddress(s string) string {
	_, _, reason := splitAddress(s)
	return reason
}

// checkPeerListenAddress allows port 0 but not the unspecified address: peers
// receive the address and must be able to dial it.
func checkPeerListenAddress(s string) string {
	ip, _, reason := splitAddress(s)
	if reason == "" && ip.IsUnspecified() {
		return fmt.Sprintf("unresolvable address: peers cannot dial %q", s)
	}
	return reason
}

func checkDialAddress(s string) string {
	ip, port, reason := splitAddress(s)
	if reason == "" && (ip.IsUnspecified() || port == 0) {
		return fmt.Sprintf("unresolvable address: %q cannot be dialled", s)
	}
	return reason
}

// splitAddress splits an address into IP and port. It refuses host names, because
// processes must reach each other without name resolution.
func splitAddress(s string) (ip netip.Addr, port uint16, reason string) {
	host, portText, err := net.SplitHostPort(s)
	if err != nil {
		return ip, 0, fmt.Sprintf("unresolvable address: %q is not an IP address and port", s)
	}
	ip, err = netip.ParseAddr(host)
	if err != nil {
		return ip, 0, fmt.Sprintf("unresolvable address: %q is not an IP address", host)
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return ip, 0, fmt.Sprintf("unresolvable address: %q is not a valid port", portText)
	}
	return ip, uint16(number), ""
}

func checkOptionalAddress(s string) string {
	if s == "" {
		return ""
	}
	return checkDialAddress(s)
}

func checkURL(s string) string {
	u, err := url.Parse(s)
	if err != nil {
		return fmt.Sprintf("unresolvable address: %q is not a valid URL", s)
	}
	extra := u.User != nil || u.RawQuery != "" || u.Fragment != "" || u.Path != "" && u.Path != "/"
	if u.Scheme != "http" || extra {
		return fmt.Sprintf("unresolvable address: %q is not of the form http://IP:PORT", s)
	}
	return checkDialAddress(u.Host)
}

// unitHint returns the end of an error message that suggests a field whose name
// differs from the unknown key only in the unit, or "" if there is none. It
// ignores the fields in seen.
func unitHint(key string, fields protoreflect.FieldDescriptors, seen map[string]bool) string {
	for i := range fields.Len() {
		name := string(fields.Get(i).Name())
		if !seen[name] && withoutUnit(name) == withoutUnit(key) {
			return fmt.Sprintf(": did you mean %q? The unit differs", name)
		}
	}
	return ""
}

func withoutUnit(name string) string {
	for _, unit := range unitSuffixes {
		if base, found := strings.CutSuffix(name, "_"+unit); found {
			return base
		}
	}
	return name
}
