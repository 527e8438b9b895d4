// Package ingress limits the descriptors that connections from outside the process may
// use, whatever their clients send. At a limit, the connection that has made no progress
// for longest is ended first, so that clients that stall do not keep out others.
package ingress
