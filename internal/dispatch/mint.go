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

// minter generates request ids. Its random source is seeded with the instance
// and its incarnation, so that equal seeds in two settings files can't give
// equal ids.
type minter struct {
	mu     sync.Mutex
	seed   uint64
	random *rand.Rand
}

func (m *minter) source(view *control.View) *rand.Rand {
	if m.random == nil {
		var key []byte
		key = binary.BigEndian.AppendUint64(key, m.seed)
		key = binary.BigEndian.AppendUint64(key, view.Incarnation)
		key = append(key, view.Instance...)
		m.random = rand.New(rand.NewChaCha8(sha256.Sum256(key)))
	}
	return m.random
}

// mint returns an id of a partition that this instance may act for, so that the
// home role needs no peer. Without such a partition it returns any id of the
// own domain.
func (d *Dispatcher) mint(rt *routes, now time.Time) string {
	wanted := d.mintable(rt, now)
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

// partitionSet has a bit for each partition.
type partitionSet []uint64

func (s partitionSet) has(p int) bool { return s[p/64]&(1<<(p%64)) != 0 }

// mintable returns the partitions that this instance may act for, nil if there
// is none.
func (d *Dispatcher) mintable(rt *routes, now time.Time) partitionSet {
	var set partitionSet
	for i := range rt.view.RequestPartitions() {
		p := &rt.view.Partitions[i]
		if !p.MayAct(now) || d.state.exportedEpoch(i, p.Epoch) {
			continue
		}
		if set == nil {
			set = make(partitionSet, (rt.view.RequestPartitions()+63)/64)
		}
		set[i/64] |= 1 << (i % 64)
	}
	return set
}
