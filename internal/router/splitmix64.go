package router

import "sync/atomic"

// goldenGamma is the increment of the state of a splitmix64 generator.
const goldenGamma = 0x9e3779b97f4a7c15

// SplitMix64 is a splitmix64 generator that is safe for concurrent use and, unlike
// the sources of math/rand, needs no lock.
type SplitMix64 struct{ state atomic.Uint64 }

// NewSplitMix64 returns a generator with a seed.
func NewSplitMix64(seed uint64) *SplitMix64 {
	c := &SplitMix64{}
	c.state.Store(seed)
	return c
}

// IntN returns a random number from 0 to n-1. It panics if n is zero.
func (c *SplitMix64) IntN(n int) int { return int(c.next() % uint64(n)) }

func (c *SplitMix64) next() uint64 {
	z := c.state.Add(goldenGamma)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
