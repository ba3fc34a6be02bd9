package settings

import "golang.org/x/sys/unix"

// fileShare returns a share of the file descriptors that a process may have: of maxFiles, unless that is 0 or the process
// was started with less. 0 means that neither is known.
func fileShare(maxFiles int, share float64) int { return shareOf(maxFiles, fileLimit(), share) }

func shareOf(maxFiles, limit int, share float64) int {
	files := maxFiles
	if limit > 0 && (files == 0 || limit < files) {
		files = limit
	}
	return int(share * float64(files))
}

// fileLimit returns the limit of this process, 0 if it is unknown.
func fileLimit() int {
	const most = 1 << 30
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, most))
}
