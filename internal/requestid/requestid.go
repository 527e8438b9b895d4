// Package requestid parses and generates the ids of requests and jobs, and maps
// ids and target names to partitions.
//
// An id is "<failure-domain>.<UUIDv7>". The failure domain is the id's home
// domain.
package requestid

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// MaxDomainBytes bounds the failure domain in an id.
	MaxDomainBytes = 63
	uuidBytes      = 36
	// MaxBytes bounds a whole id.
	MaxBytes = MaxDomainBytes + 1 + uuidBytes
	// maxGenerateAttempts bounds the attempts to generate an id in a wanted
	// partition. With one partition of 24 wanted, all fail once in 10^18 calls.
	maxGenerateAttempts = 1000
)

// ID is a parsed id.
type ID struct {
	Domain string
	UUID   uuid.UUID
}

// Parse parses an id. It accepts only the canonical form, since two spellings of
// one id would hash to different partitions.
func Parse(s string) (ID, error) {
	if len(s) > MaxBytes {
		return ID{}, errors.Errorf("id has %d bytes, limit %d", len(s), MaxBytes)
	}
	dot := strings.LastIndexByte(s, '.')
	if dot < 0 {
		return ID{}, errors.New("id has no dot between failure domain and UUID")
	}
	domain, text := s[:dot], s[dot+1:]
	if err := CheckDomain(domain); err != nil {
		return ID{}, err
	}
	if len(text) != uuidBytes {
		return ID{}, errors.Errorf("UUID has %d bytes, want %d", len(text), uuidBytes)
	}
	u, err := uuid.Parse(text)
	if err != nil {
		return ID{}, errors.Wrap(err, "UUID")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ID{}, errors.New("UUID does not have version 7 and the RFC 9562 variant")
	}
	if u.String() != text {
		return ID{}, errors.New("UUID is not in the canonical lower-case form")
	}
	return ID{Domain: domain, UUID: u}, nil
}

// CheckDomain returns an error if domain is not a valid name of a failure domain.
func CheckDomain(domain string) error {
	if domain == "" || len(domain) > MaxDomainBytes {
		return errors.Errorf("failure domain has %d bytes, want 1 to %d", len(domain), MaxDomainBytes)
	}
	for _, c := range []byte(domain) {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return errors.Errorf("failure domain contains %q, want lower-case letters, digits and hyphens", c)
		}
	}
	return nil
}

// String returns the id's canonical form.
func (id ID) String() string { return id.Domain + "." + id.UUID.String() }

// Time returns the creation time from the id, in whole milliseconds.
func (id ID) Time() time.Time {
	var ms int64
	for _, b := range id.UUID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Partition maps an id or a target name to one of count partitions.
func Partition(key string, count int) int {
	if count <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(key) % uint64(count))
}

// AgeStatus is the result of CheckAge.
type AgeStatus int

// Results of CheckAge.
const (
	AgeValid AgeStatus = iota
	// AgeInFuture means that the creation time is ahead of the clock by more than
	// the permitted skew.
	AgeInFuture
	// AgeExpired means that the id is older than the retention of stored answers.
	AgeExpired
)

// CheckAge compares the creation time of an id with the time now.
func CheckAge(created, now time.Time, skew, retention time.Duration) AgeStatus {
	switch {
	case created.After(now.Add(skew)):
		return AgeInFuture
	case created.Before(now.Add(-retention)):
		return AgeExpired
	default:
		return AgeValid
	}
}

// New generates an id with the creation time now.
func New(domain string, now time.Time, random *rand.Rand) string {
	return ID{Domain: domain, UUID: newUUID(now, random)}.String()
}

// NewInPartitions generates an id that maps to one of the wanted partitions out of
// count. It returns false if none of its attempts gives one.
func NewInPartitions(domain string, now time.Time, random *rand.Rand, count int, wanted func(partition int) bool) (string, bool) {
	for range maxGenerateAttempts {
		id := New(domain, now, random)
		if wanted(Partition(id, count)) {
			return id, true
		}
	}
	return "", false
}

func newUUID(now time.Time, random *rand.Rand) uuid.UUID {
	var u uuid.UUID
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	high, low := random.Uint64(), random.Uint64()
	for i := range 8 {
		u[8+i] = byte(low >> (8 * i))
	}
	u[6], u[7] = byte(high), byte(high>>8)
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u
}
