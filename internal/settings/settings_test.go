package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"gooseberryreel/internal/pb"
)

const validEntry = `{
	"instance": "entry-1", "region": "wa-south", "failure_domain": "perth-hills",
	"http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
	"log_url": "http://127.0.0.1:7000", "list_url": "http://127.0.0.1:7001/",
	"seed_peers": ["127.0.0.1:7002"], "ownership": {"refused_proves_gone": false}
}`

const validService = `{"name": "pickbook", "service": {"team": "bookings", "latency_target_ms": 250,
	"per_target": {"cpu_milli": 2000, "memory_mib": 4096}}}`

const validJob = `{"name": "reports", "batch_job": {"team": "office", "expected_run_ms": 60000, "workload": "report",
	"needs": {"cpu_milli": 500, "memory_mib": 256}}}`

const validTeam = `{"name": "office", "team": {"quota": {"cpu_milli": 9000, "memory_mib": 9000, "accelerators": 1}}}`

// problems returns one line for each problem in err, without the file name.
func problems(t *testing.T, err error) []string {
	t.Helper()
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	var lines []string
	for _, p := range e.Problems {
		qt.Assert(t, p.File, qt.Equals, "f.json")
		lines = append(lines, strings.TrimPrefix(p.String(), "f.json: "))
	}
	return lines
}

// Guards against a schema field without a rule, a rule for a field that no longer
// exists, and a default that violates its own rule.
func TestEveryFieldHasARule(t *testing.T) {
	c := qt.New(t)
	used := map[protoreflect.FullName]bool{}
	var visit func(md protoreflect.MessageDescriptor)
	visit = func(md protoreflect.MessageDescriptor) {
		for i := range md.Fields().Len() {
			fd := md.Fields().Get(i)
			name := protoreflect.FullName(md.Name()) + "." + protoreflect.FullName(fd.Name())
			r, found := rules[name]
			used[name] = found
			if fd.Message() != nil {
				visit(fd.Message())
				continue
			}
			c.Assert(found || fd.Kind() == protoreflect.BoolKind, qt.IsTrue, qt.Commentf("%s", name))
			if r.defaultValue != nil {
				c.Assert(r.check(r.typedDefault(fd)), qt.Equals, "", qt.Commentf("%s", name))
			}
		}
	}
	visit((&pb.EntrySettings{}).ProtoReflect().Descriptor())
	visit((&pb.SchedulerSettings{}).ProtoReflect().Descriptor())
	visit((&pb.Declaration{}).ProtoReflect().Descriptor())
	for name := range rules {
		c.Assert(used[name], qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against defaults that are not filled in, and against defaults that
// replace a value from the file.
func TestLoadFillsDefaults(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "entry.json")
	c.Assert(os.WriteFile(file, []byte(validEntry), 0o600), qt.IsNil)
	entry, err := LoadEntry(file)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.GetOwnership().GetRequestPartitions(), qt.Equals, int32(24))
	c.Assert(entry.GetOwnership().GetRefusedProvesGone(), qt.IsFalse)
	c.Assert(entry.GetLogLevel(), qt.Equals, "info")
	c.Assert(entry.GetSeedPeers(), qt.DeepEquals, []string{"127.0.0.1:7002"})
	for _, content := range []string{validService, validJob, validTeam} {
		c.Assert(os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		declaration, err := LoadDeclaration(file)
		c.Assert(err, qt.IsNil)
		c.Assert(ValidateDeclaration("d", declaration), qt.IsNil)
	}
	_, err = LoadEntry(file + ".none")
	c.Assert(err, qt.ErrorMatches, `.*entry.json.none: cannot be opened: .*`)
}

// Guards against loading that stops at the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := ParseEntry("f.json", []byte(`{
		"instance": "Entry 1", "region": 7, "region": "x",
		"http_address": "localhost:80", "peer_address": "0.0.0.0:80",
		"log_url": "https://127.0.0.1:1", "list_url": "http://127.0.0.1",
		"seed_peers": ["127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:0"],
		"ownership": {"lease_s": 3, "heartbeat_interval_ms": 0, "request_partitions": 99999999999},
		"requests": {"max_body_bytes": -1, "queue_length": 1.5, "max_attempts": "3", "default_timeout_ms": 31000},
		"jobs": null, "log_level": "loud", "colour": true
	}`))
	c.Assert(problems(t, err), qt.DeepEquals, []string{
		`instance: "Entry 1" is not a valid name: want 1 to 63 lower-case letters, digits and inner hyphens`,
		`region: wrong type: want a string, got a number`,
		`region: duplicate key`,
		`http_address: unresolvable address: "localhost" is not an IP address`,
		`peer_address: unresolvable address: peers cannot dial "0.0.0.0:80"`,
		`log_url: unresolvable address: "https://127.0.0.1:1" is not of the form http://IP:PORT`,
		`list_url: unresolvable address: "127.0.0.1" is not an IP address and port`,
		`seed_peers[1]: duplicate value "127.0.0.1:1"`,
		`seed_peers[2]: unresolvable address: "127.0.0.1:0" cannot be dialled`,
		`ownership.lease_s: unknown field: did you mean "lease_ms"? The unit differs`,
		`ownership.heartbeat_interval_ms: must be positive, got 0`,
		`ownership.request_partitions: value out of range: 99999999999`,
		`requests.max_body_bytes: must be positive, got -1`,
		`requests.queue_length: wrong type: want a whole number without fraction or exponent, got 1.5`,
		`requests.max_attempts: wrong type: want a whole number, got a string`,
		`jobs: wrong type: want an object, got null`,
		`log_level: value out of range: "loud" is not one of debug, info, warning, error`,
		`colour: unknown field`,
		`failure_domain: missing required field`,
		`requests.default_timeout_ms: must not be larger than requests.max_timeout_ms`,
	})
}

// Guards against accepting a declaration that no instance could fulfil.
func TestDeclarationProblems(t *testing.T) {
	for _, test := range []struct{ name, content, want string }{
		{"no body", `{"name":"a"}`, `one of service, batch_job and team is required`},
		{"not an object", `[]`, `wrong type: want an object, got an array`},
		{"two bodies", `{"name":"a","team":{"quota":{"cpu_milli":1,"memory_mib":1}},"service":{}}`,
			`service: only one of team and service may be set`},
		{"no quota", `{"name":"a","team":{}}`, `team.quota: missing required field`},
		{"zero quota", `{"name":"a","team":{"quota":{"cpu_milli":0,"memory_mib":1}}}`,
			`team.quota.cpu_milli: must be positive, got 0`},
		{"target above timeout", strings.Replace(validService, "250", "20000", 1),
			`service.latency_target_ms: must not be larger than service.default_timeout_ms`},
		{"wrong unit", strings.Replace(validJob, `"memory_mib": 256`, `"memory_mib": 256, "cpu_cores": 1`, 1),
			`batch_job.needs.cpu_cores: unknown field`},
		{"syntax", "{\n \"name\" 1}", `not valid JSON at line 2, column 9: .*`},
		{"trailing", validTeam + "{}", `not valid JSON at line 1, .* after top-level value`},
		{"encoding", "{\"name\":\"\xff\"}", `not valid UTF-8`},
		{"depth", `{"name":` + strings.Repeat("[", 20) + strings.Repeat("]", 20) + `}`, `nested deeper than 16 levels`},
		{"size", strings.Repeat(" ", MaxDeclarationBytes+1), `file is larger than 65536 bytes`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ParseDeclaration("f.json", []byte(test.content))
			lines := problems(t, err)
			c.Assert(lines, qt.HasLen, 1)
			c.Assert(lines[0], qt.Matches, test.want)
		})
	}
}

// Guards against invalid declarations in stream records, which were not loaded
// from a file.
func TestValidateDeclaration(t *testing.T) {
	c := qt.New(t)
	err := ValidateDeclaration("f.json", &pb.Declaration{Name: "A", Body: &pb.Declaration_Service{Service: &pb.Service{
		Team: "t", LatencyTargetMs: 1, DefaultTimeoutMs: 1, QueueLength: 0,
	}}})
	c.Assert(problems(t, err), qt.DeepEquals, []string{
		`name: "A" is not a valid name: want 1 to 63 lower-case letters, digits and inner hyphens`,
		`service.queue_length: must be positive, got 0`,
		`service.per_target: missing required field`,
	})
	c.Assert(ValidateDeclaration("f.json", nil), qt.IsNotNil)
}

// Guards against an error whose size grows with the number of problems in a file.
func TestProblemsAreBounded(t *testing.T) {
	c := qt.New(t)
	_, err := ParseEntry("f.json", []byte(`{"a":1`+strings.Repeat(`,"a":1`, 500)+`}`))
	var e *Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Problems, qt.HasLen, maxProblems)
	c.Assert(e.Omitted > 400, qt.IsTrue)
}
