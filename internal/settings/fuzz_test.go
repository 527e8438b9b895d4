package settings

import (
	"testing"

	"github.com/pkg/errors"
)

// checkParseError fails the test unless err lists problems, each with the file and
// a reason.
func checkParseError(t *testing.T, err error) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || len(e.Problems) == 0 {
		t.Fatalf("error without problems: %v", err)
	}
	for _, p := range e.Problems {
		if p.File != "f.json" || p.Reason == "" {
			t.Fatalf("incomplete problem %+v", p)
		}
	}
}

// Guards against input that makes the parser panic, and against accepted settings
// without defaults. The seed corpus is in testdata/fuzz.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := ParseEntry("f.json", data)
		if err != nil {
			checkParseError(t, err)
			return
		}
		if entry.GetOwnership().GetLeaseMs() <= 0 || entry.GetPeers().GetMaxConnections() <= 0 {
			t.Fatalf("accepted without defaults: %v", entry)
		}
	})
}

// Guards against a declaration that is accepted when it is published but rejected
// when an instance reads it from the stream.
func FuzzDeclaration(f *testing.F) {
	for _, content := range []string{validService, validJob, validTeam} {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		declaration, err := ParseDeclaration("f.json", data)
		if err != nil {
			checkParseError(t, err)
			return
		}
		if err := ValidateDeclaration("f.json", declaration); err != nil {
			t.Fatalf("accepted from a file, rejected as a message: %v", err)
		}
	})
}
