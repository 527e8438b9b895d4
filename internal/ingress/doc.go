// Package ingress limits the memory and the descriptors that connections from outside
// the process may use, whatever their clients send: a Budget limits the bytes of request
// bodies, and a Listener the number of open connections. At a limit, what has made no
// progress for longest is ended first, so that clients that stall do not keep out others.
package ingress
