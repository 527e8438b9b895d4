package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/requestid"
)

// idGenerator generates request ids. Its random source is seeded with the seed, the
// instance name and the incarnation, so that equal seeds in two settings files
// can't lead to equal ids.
type idGenerator struct {
	mu     sync.Mutex
	seed   uint64
	random *rand.Rand
}

// source returns the random source. The caller must hold mu.
func (m *idGenerator) source(view *control.View) *rand.Rand {
	if m.random == nil {
		var key []byte
		key = binary.BigEndian.AppendUint64(key, m.seed)
		key = binary.BigEndian.AppendUint64(key, view.Incarnation)
		key = append(key, view.Instance...)
		m.random = rand.New(rand.NewChaCha8(sha256.Sum256(key)))
	}
	return m.random
}

// newRequestID returns an id in a partition that this instance may act for, so that
// this instance is the home owner. Without such a partition it returns an id in any
// partition of this domain.
func (d *Dispatcher) newRequestID(rt *routes, now time.Time) string {
	wanted := d.actingPartitions(rt, now)
	d.ids.mu.Lock()
	defer d.ids.mu.Unlock()
	random := d.ids.source(rt.view)
	if len(wanted) > 0 {
		id, ok := requestid.NewInPartitions(rt.view.Domain, now, random, rt.view.RequestPartitions(), wanted.has)
		if ok {
			return id
		}
	}
	return requestid.New(rt.view.Domain, now, random)
}

// partitionSet is a bit set of partitions.
type partitionSet []uint64

func (s partitionSet) has(p int) bool { return s[p/64]&(1<<(p%64)) != 0 }

// actingPartitions returns the partitions that this instance may act for, or nil if
// there is none.
func (d *Dispatcher) actingPartitions(rt *routes, now time.Time) partitionSet {
	var set partitionSet
	for i := range rt.view.RequestPartitions() {
		p := &rt.view.Partitions[i]
		if !p.MayAct(now) || d.state.isExported(i, p.Epoch) {
			continue
		}
		if set == nil {
			set = make(partitionSet, (rt.view.RequestPartitions()+63)/64)
		}
		set[i/64] |= 1 << (i % 64)
	}
	return set
}
