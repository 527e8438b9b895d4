package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// firstPort and lastPort limit the ports of Listen and ReserveAddresses. They
	// have five digits, so that rewriting addresses in messages doesn't change their
	// length, and are below the range from which the kernel chooses the local ports
	// of outgoing connections.
	firstPort = 10_000
	lastPort  = 32_000
)

// host is a loopback address that no other live process uses, since it consists of
// the process id.
var host = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

var portsUsed atomic.Int64

// Listen listens on an address that was not used before in this process.
func Listen() (net.Listener, error) {
	var lastErr error
	for range lastPort - firstPort {
		port := firstPort + int(portsUsed.Add(1)-1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, errors.Wrapf(lastErr, "no free port on %s", host)
}

// ReserveAddresses returns addresses for n listeners of processes that are started
// later. Neither another call, nor another process, nor an outgoing connection uses
// them in the meantime.
func ReserveAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := Listen()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, l.Addr().String())
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "close listener")
		}
	}
	return addresses, nil
}
