package listen

import (
	"syscall"

	"github.com/pkg/errors"
)

// filesShare and maxFiles bound the descriptors that are left for files.
const (
	filesShare = 0.25
	maxFiles   = 200
)

// Shares of a process's sockets that the connections of its listeners may take. The rest is for connections that the process
// opens.
const (
	CallersShare   = 0.5
	PeersShare     = 0.25
	AuxiliaryShare = 0.0625
)

// Sockets returns how many sockets the process may have.
func Sockets() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "limit of descriptors")
	}
	// More than this is no bound for connections.
	const most = 1 << 30
	descriptors := float64(min(limit.Cur, most))
	return int(descriptors - min(maxFiles, filesShare*descriptors)), nil
}

// Share returns the part of the sockets that a listener's connections may take, at least one and no more than most.
func Share(sockets int, part float64, most int) int {
	return max(min(int(part*float64(sockets)), most), 1)
}
