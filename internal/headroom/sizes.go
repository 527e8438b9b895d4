package headroom

import (
	"math"
	"slices"
)

const (
	// sizesKept is the number of jobs whose sizes are remembered, and minSizes that from
	// which on kinds are told apart.
	sizesKept = 256
	minSizes  = 50
	// sizesInterval is the number of new jobs after which the kinds are computed anew.
	sizesInterval = 16
)

// kindShares are the shares of jobs that are larger than those of the smallest kind and
// than those of the middle kind: the largest tenth and the fifth below it are judged as
// kinds of their own.
var kindShares = [...]float64{0.3, 0.1}

// Sizes learns which jobs are large from the sizes of recent jobs. The zero value knows
// none.
type Sizes struct {
	recent []float64
	next   int
	added  int                          // since the kinds were computed
	limits [len(kindShares)]float64     // largest size of each kind but the last
	means  [len(kindShares) + 1]float64 // of each kind, zero if unknown
}

// Add adds the size of a job.
func (z *Sizes) Add(size float64) {
	if len(z.recent) < sizesKept {
		z.recent = append(z.recent, size)
	} else {
		z.recent[z.next] = size
		z.next = (z.next + 1) % sizesKept
	}
	if z.added++; len(z.recent) < minSizes || z.added < sizesInterval {
		return
	}
	z.added = 0
	sorted := slices.Sorted(slices.Values(z.recent))
	from := 0
	for kind := range z.means {
		to := len(sorted)
		if kind < len(kindShares) {
			to = int(float64(len(sorted)) * (1 - kindShares[kind]))
			z.limits[kind] = sorted[to-1]
		}
		sum := 0.0
		for _, size := range sorted[from:to] {
			sum += size
		}
		z.means[kind] = sum / float64(to-from)
		from = to
	}
}

// Cost returns what the remaining work of a job of some size costs relative to others.
// It is the work divided by the root of the mean size of the job's kind: a job is
// compared by its work within its kind, and a large kind is only partly behind smaller
// ones.
func (z *Sizes) Cost(remaining, size float64) float64 {
	if z.means[0] == 0 {
		return remaining
	}
	kind := 0
	for kind < len(z.limits) && size > z.limits[kind] {
		kind++
	}
	return remaining / math.Sqrt(z.means[kind])
}
