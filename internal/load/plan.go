package load

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// Options describes a load. All fractions are between 0 and 1.
type Options struct {
	Entries []Entry
	Seed    uint64
	// Rate is the number of requests per second, JobRate that of jobs.
	Rate     float64
	JobRate  float64
	Duration time.Duration
	// MaxCount bounds requests and jobs each; MaxInFlight bounds calls at once.
	MaxCount    int
	MaxInFlight int
	Service     string
	Teams       []string
	Timeout     time.Duration
	BodyBytes   int
	// NonIdempotent is the fraction of requests that may run at most once.
	NonIdempotent float64
	// Duplicates is the fraction of the non-idempotent requests that are sent again
	// with the same id through two other instances.
	Duplicates float64
	// Late is the fraction of the non-idempotent requests that have ShortTimeout
	// and whose answers are looked up later.
	Late         float64
	ShortTimeout time.Duration
	// Jobs are the declared batch jobs to submit.
	Jobs []string
	// Cancel and Urgent are the fractions of jobs that are cancelled and that are
	// urgent.
	Cancel float64
	Urgent float64
	// JobWait bounds the wait for the end of jobs after the load.
	JobWait time.Duration
}

// plannedArrival is one planned request or job.
type plannedArrival struct {
	at    time.Duration
	entry int
	// others are the instances that receive duplicates and look-ups.
	others [2]int
	team   string
	// idRandom holds the random bits of the id.
	idRandom      [10]byte
	bodySeed      uint64
	nonIdempotent bool
	duplicate     bool
	lookUpLate    bool
	job           string
	cancelAfter   time.Duration // zero if the job is not cancelled
	urgent        bool
}

const (
	maxCancelDelay    = 2 * time.Second
	maxDuplicateDelay = 20 * time.Millisecond
)

// planRequests returns all request arrivals of a load. The same options always yield
// the same plan.
func planRequests(o Options) []plannedArrival {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	return poissonArrivals(o, rng, o.Rate, func(p *plannedArrival) {
		p.nonIdempotent = rng.Float64() < o.NonIdempotent
		duplicate, lookUpLate := rng.Float64() < o.Duplicates, rng.Float64() < o.Late
		p.duplicate, p.lookUpLate = p.nonIdempotent && duplicate, p.nonIdempotent && lookUpLate
	})
}

// planJobs returns all job arrivals of a load.
func planJobs(o Options) []plannedArrival {
	if len(o.Jobs) == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	return poissonArrivals(o, rng, o.JobRate, func(p *plannedArrival) {
		p.job = o.Jobs[rng.IntN(len(o.Jobs))]
		p.urgent = rng.Float64() < o.Urgent
		if rng.Float64() < o.Cancel {
			p.cancelAfter = 1 + time.Duration(rng.Int64N(int64(maxCancelDelay)))
		}
	})
}

// poissonArrivals returns arrivals with exponentially distributed gaps at the given
// rate per second. setDetails sets the fields of one kind of arrival.
func poissonArrivals(o Options, rng *rand.Rand, rate float64, setDetails func(*plannedArrival)) []plannedArrival {
	if rate <= 0 {
		return nil
	}
	var plan []plannedArrival
	at := time.Duration(0)
	for len(plan) < o.MaxCount {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= o.Duration {
			break
		}
		p := plannedArrival{at: at, bodySeed: rng.Uint64()}
		p.entry = rng.IntN(len(o.Entries))
		p.others = [2]int{rng.IntN(len(o.Entries)), rng.IntN(len(o.Entries))}
		if len(o.Teams) > 0 {
			p.team = o.Teams[rng.IntN(len(o.Teams))]
		}
		binary.LittleEndian.PutUint64(p.idRandom[:8], rng.Uint64())
		binary.LittleEndian.PutUint16(p.idRandom[8:], uint16(rng.Uint32()))
		setDetails(&p)
		plan = append(plan, p)
	}
	return plan
}

// makeID returns a request or job id: its home domain and a version 7 UUID of the
// given time.
func makeID(domain string, at time.Time, random [10]byte) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	id[0], id[1], id[2] = byte(ms>>40), byte(ms>>32), byte(ms>>24)
	id[3], id[4], id[5] = byte(ms>>16), byte(ms>>8), byte(ms)
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return domain + "." + id.String()
}

// NewID returns an id for the current time with random bits from rng.
func NewID(domain string, rng *rand.Rand) string {
	var random [10]byte
	binary.LittleEndian.PutUint64(random[:8], rng.Uint64())
	binary.LittleEndian.PutUint16(random[8:], uint16(rng.Uint32()))
	return makeID(domain, time.Now(), random)
}

// makeBody returns a request body of size letters that depends only on the seed.
func makeBody(size int, seed uint64) []byte {
	body := make([]byte, size)
	source := rand.New(rand.NewPCG(seed, 3))
	for i := range body {
		body[i] = byte('a' + source.IntN(26))
	}
	return body
}
