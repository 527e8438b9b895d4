package limits

import "sync"

const (
	// budgetBurst limits the retries that accumulate while few are needed.
	budgetBurst = 20.0
	// budgetInitial lets a new instance retry before it has received answers.
	budgetInitial = 5.0
)

// RetryBudget is a token bucket that limits retries to a fraction of the answers
// received, so that retries can't multiply the load on targets that fail because
// of overload. Requests without an answer add no tokens, since they are frequent in
// an overload and would allow more retries then. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget that allows percent retries per hundred answers.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{ratio: float64(percent) / 100, tokens: budgetInitial}
}

// AddAnswer credits the budget with one answered request.
func (b *RetryBudget) AddAnswer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, budgetBurst)
}

// TryRetry consumes one retry of the budget and reports whether one was left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
