// Package buildinfo holds the version of the programs.
package buildinfo

// Version is the version that all programs report.
const Version = "0.1.0"
