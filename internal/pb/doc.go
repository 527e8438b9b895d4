// Package pb holds the messages and settings generated from proto/*.proto by
// tools/generate.sh.
package pb
