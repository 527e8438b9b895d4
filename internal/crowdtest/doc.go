// Package crowdtest tests a scheduler process against many clients that keep it
// from finishing their requests. The process runs with a small memory and few
// descriptors. The tests check what doesn't depend on the machine's speed: that the
// process lives, that it stays under these limits, and that it answers others.
package crowdtest
