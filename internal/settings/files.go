package settings

// fileShare returns a share of the file descriptors that a process may have, 0 if that is unknown.
func fileShare(maxFiles int, share float64) int { return int(share * float64(maxFiles)) }
