package requestid

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const validID = "perth-hills.0193b8a0-7c00-7abc-8def-0123456789ab"

// Guards against ids from which another instance parses a different domain, time
// or partition.
func TestNewRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		now := time.UnixMilli(rapid.Int64Range(0, 1<<47).Draw(rt, "ms"))
		wanted := rapid.IntRange(0, 23).Draw(rt, "partition")
		text, ok := NewInPartitions("at-east-a", now, random, 24, func(p int) bool { return p == wanted })
		id, err := Parse(text)
		if !ok || err != nil || id.String() != text || id.Domain != "at-east-a" {
			rt.Fatalf("id %q, found %t: %v", text, ok, err)
		}
		if !id.Time().Equal(now) || Partition(text, 24) != wanted {
			rt.Fatalf("id %q has time %v and partition %d, want %v and %d", text, id.Time(), Partition(text, 24), now, wanted)
		}
	})
}

// Guards against a second spelling of an id, which would map to another home
// partition.
func TestParseRejects(t *testing.T) {
	for name, text := range map[string]string{
		"empty":        "",
		"no domain":    ".0193b8a0-7c00-7abc-8def-0123456789ab",
		"no dot":       "0193b8a0-7c00-7abc-8def-0123456789ab",
		"upper case":   "perth-hills.0193B8A0-7c00-7abc-8def-0123456789ab",
		"version 4":    "perth-hills.0193b8a0-7c00-4abc-8def-0123456789ab",
		"variant":      "perth-hills.0193b8a0-7c00-7abc-0def-0123456789ab",
		"braces":       "perth-hills.{0193b8a0-7c00-7abc-8def-0123456789ab}",
		"no hyphens":   "perth-hills.0193b8a07c007abc8def0123456789ab",
		"two dots":     "perth.hills.0193b8a0-7c00-7abc-8def-0123456789ab",
		"long domain":  strings.Repeat("a", MaxDomainBytes+1) + validID[11:],
		"upper domain": "Perth" + validID[11:],
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(text)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// Guards against running an id whose stored answer may have expired, and one from
// the future, which a later owner can't distinguish from an id of its own time.
func TestCheckAge(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, test := range []struct {
		offset time.Duration
		want   AgeStatus
	}{
		{2 * time.Second, AgeValid},
		{2*time.Second + 1, AgeInFuture},
		{-time.Minute, AgeValid},
		{-time.Minute - 1, AgeExpired},
	} {
		qt.Check(t, CheckAge(now.Add(test.offset), now, 2*time.Second, time.Minute), qt.Equals, test.want)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{validID, "", ".", "a.b", "perth-hills.", validID + "x", "\x00." + validID, strings.ToUpper(validID)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err == nil && id.String() != text {
			t.Fatalf("Parse(%q) gives %q", text, id)
		}
	})
}
