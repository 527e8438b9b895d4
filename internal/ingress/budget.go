package ingress

import (
	"container/list"
	"sync"

	"github.com/pkg/errors"
)

// ErrExhausted is the error of data that is refused because the data in work takes all
// the memory that it may.
var ErrExhausted = errors.New("the memory for data from outside is exhausted")

// Budget limits the memory of all data in work, such as the bodies of requests. Memory is
// charged for what arrives and not for what a client announces. If it is exhausted, the
// account whose incomplete data has made no progress for longest is evicted. It is safe
// for concurrent use.
type Budget struct {
	total   int64
	refused func(reason string)

	mu        sync.Mutex
	used      int64
	releasing int64 // part of used that belongs to evicted accounts
	released  *sync.Cond
	// incomplete holds the accounts that may be evicted, ordered by their last progress.
	incomplete *list.List
}

// NewBudget returns a budget of a number of bytes. refused is called with the reason of
// each refusal and must not block; nil ignores them.
func NewBudget(total int64, refused func(reason string)) *Budget {
	if refused == nil {
		refused = func(string) {}
	}
	b := &Budget{total: total, refused: refused, incomplete: list.New()}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Used returns the number of bytes that are charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// account is the part of a Budget that one body or connection uses.
type account struct {
	budget *Budget
	// stop ends a read in progress and all later ones after an eviction. It must not
	// block.
	stop func()

	// Guarded by budget.mu.
	charged           int64
	element           *list.Element // in budget.incomplete
	evicted, complete bool
}

// charge charges n more bytes. It evicts other accounts if necessary and waits until they
// have released their memory.
func (a *account) charge(n int64) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.charged+n > b.total {
		return ErrExhausted
	}
	a.progressLocked()
	for b.used+n > b.total && !a.evicted {
		if b.used-b.releasing+n <= b.total {
			b.released.Wait()
			continue
		}
		front := b.incomplete.Front()
		if front == nil || front.Value == a {
			return ErrExhausted
		}
		front.Value.(*account).evictLocked()
	}
	if a.evicted {
		return ErrExhausted
	}
	b.used += n
	a.charged += n
	return nil
}

func (a *account) evictLocked() {
	a.removeLocked()
	a.evicted = true
	a.budget.releasing += a.charged
	a.stop()
	a.budget.released.Broadcast() // the account may be waiting itself
}

// progress records that data has arrived.
func (a *account) progress() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressLocked()
}

func (a *account) progressLocked() {
	switch {
	case a.complete || a.evicted:
	case a.element == nil:
		a.element = a.budget.incomplete.PushBack(a)
	default:
		a.budget.incomplete.MoveToBack(a.element)
	}
}

// completed records that all data has arrived, so that the account is not evicted any
// more. It reports false if it was evicted before.
func (a *account) completed() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.removeLocked()
	a.complete = true
	return !a.evicted
}

// release returns all memory to the budget. Nothing can be charged afterwards.
func (a *account) release() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.removeLocked()
	b.used -= a.charged
	if a.evicted {
		b.releasing -= a.charged
	}
	a.charged, a.evicted = 0, true
	b.released.Broadcast()
}

func (a *account) removeLocked() {
	if a.element != nil {
		a.budget.incomplete.Remove(a.element)
		a.element = nil
	}
}

func (a *account) wasEvicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}
