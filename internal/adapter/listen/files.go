package listen

import "syscall"

// defaultFiles is the limit on descriptors if the process has none that is known.
const defaultFiles = 4_096

// maxFiles bounds the limit on descriptors that is shared out; a system may allow millions.
const maxFiles = 1 << 20

// Percentages of the process's descriptors. With the 2,870 of the smallest hosts, callers may open 2,009 connections. What is left is for
// the store, other daemons and files.
const (
	callerPercent   = 70
	peerPercent     = 8
	operatorPercent = 3
	upstreamPercent = 10
)

// Shares are the numbers of connections for which the process's descriptors suffice.
type Shares struct {
	Callers   int
	Peers     int
	Operators int
	Upstreams int
}

// FileShares shares out the process's limit on descriptors.
func FileShares() Shares {
	files := defaultFiles
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		files = int(min(limit.Cur, maxFiles))
	}
	share := func(percent int) int { return max(1, files*percent/100) }
	return Shares{Callers: share(callerPercent), Peers: share(peerPercent), Operators: share(operatorPercent), Upstreams: share(upstreamPercent)}
}

// Idle returns the number of unused connections to upstreams that may be kept.
func (s Shares) Idle() int {
	return max(2, s.Upstreams/2)
}
