package proxier

import (
	"net"
	"slices"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// minMeasuredHosts is how many other hosts a round-trip time needs: with fewer, it
	// may be their links that are slow.
	minMeasuredHosts = 3
	// maxMeasureAge is how long ago a connection's last acknowledgement may have arrived.
	maxMeasureAge timekeeper.Millis = 3000
)

// linkDelays measures the round-trip times of the connections that other daemons have
// opened. A daemon with roles has many of them. It is safe for concurrent use.
type linkDelays struct {
	mu    sync.Mutex
	conns map[*measuredConn]bool
}

// measuredListener registers the accepted TCP connections with linkDelays.
type measuredListener struct {
	net.Listener
	delays *linkDelays
}

// measuredConn is an open connection of another daemon.
type measuredConn struct {
	*net.TCPConn
	delays *linkDelays
}

// Accept implements net.Listener.
func (l measuredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, isTCP := conn.(*net.TCPConn)
	if err != nil || !isTCP {
		return conn, err
	}
	measured := &measuredConn{TCPConn: tcp, delays: l.delays}
	l.delays.mu.Lock()
	defer l.delays.mu.Unlock()
	if l.delays.conns == nil {
		l.delays.conns = map[*measuredConn]bool{}
	}
	l.delays.conns[measured] = true
	return measured, nil
}

// Close implements net.Conn.
func (c *measuredConn) Close() error {
	c.delays.mu.Lock()
	delete(c.delays.conns, c)
	c.delays.mu.Unlock()
	return c.TCPConn.Close()
}

// roundTrip returns the connection's round-trip time as the kernel measures it, or false
// if it has no recent one.
func (c *measuredConn) roundTrip() (timekeeper.Millis, bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil || timekeeper.Millis(info.Last_ack_recv) > maxMeasureAge {
		return 0, false
	}
	return timekeeper.Millis(info.Rtt / 1000), true
}

// median returns the median over other hosts of the shortest round-trip time to each, or
// 0 if there are fewer than minMeasuredHosts.
func (d *linkDelays) median() timekeeper.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := map[string]timekeeper.Millis{}
	for conn := range d.conns {
		address, isTCP := conn.RemoteAddr().(*net.TCPAddr)
		delay, found := conn.roundTrip()
		if !isTCP || !found {
			continue
		}
		if best, known := shortest[address.IP.String()]; !known || delay < best {
			shortest[address.IP.String()] = delay
		}
	}
	return medianDelay(shortest)
}

// medianDelay returns the median of the hosts' round-trip times, or 0 if they are fewer
// than minMeasuredHosts.
func medianDelay(byHost map[string]timekeeper.Millis) timekeeper.Millis {
	var delays []timekeeper.Millis
	for _, delay := range byHost {
		delays = append(delays, delay)
	}
	if len(delays) < minMeasuredHosts {
		return 0
	}
	slices.Sort(delays)
	return delays[len(delays)/2]
}
