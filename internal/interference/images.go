package interference

import (
	"cmp"
	"slices"
)

// images gives indexes to at most limit images, so that what is kept for each pair of them
// has a bound. Further images share one index until others are forgotten.
type images struct {
	limit  int
	index  map[string]int
	names  []string // by index
	used   []int64  // by index: number of the newest look-up
	free   []int    // indexes of forgotten images
	shared int      // -1 until it is needed
	count  int64    // look-ups
}

func newImages(limit int) images {
	return images{limit: limit, index: make(map[string]int), shared: -1}
}

// lookUp returns the index of an image, and whether the index is new to it.
func (t *images) lookUp(name string) (n int, added bool) {
	t.count++
	n, found := t.index[name]
	switch {
	case found:
	case len(t.free) > 0:
		n, t.free = t.free[len(t.free)-1], t.free[:len(t.free)-1]
		added = true
	case len(t.names) < t.limit-1:
		n, added = len(t.names), true
		t.names, t.used = append(t.names, ""), append(t.used, 0)
	case t.shared < 0:
		t.shared = len(t.names)
		t.names, t.used = append(t.names, ""), append(t.used, 0)
		return t.shared, true
	default:
		return t.shared, false
	}
	if added {
		t.names[n], t.index[name] = name, n
	}
	t.used[n] = t.count
	return n, added
}

// full reports whether images share an index.
func (t *images) full() bool { return len(t.free) == 0 && len(t.names) >= t.limit-1 }

// forget forgets the images that are not in use, those looked up longest ago first, up to
// half of all.
func (t *images) forget(inUse func(int) bool) {
	var unused []int
	for _, n := range t.index {
		if !inUse(n) {
			unused = append(unused, n)
		}
	}
	slices.SortFunc(unused, func(a, b int) int { return cmp.Compare(t.used[a], t.used[b]) })
	for _, n := range unused[:min(len(unused), t.limit/2)] {
		delete(t.index, t.names[n])
		t.names[n] = ""
		t.free = append(t.free, n)
	}
}

// each calls f for each image with an index of its own, in the order of indexes.
func (t *images) each(f func(n int, name string)) {
	for n, name := range t.names {
		if known, found := t.index[name]; found && known == n {
			f(n, name)
		}
	}
}
