package settings

const (
	// entryBodyShare and controlBodyShare are the parts of a process's memory that the bodies of requests may take
	// together, as divisors.
	entryBodyShare   = 6
	controlBodyShare = 8
	// callShare is the same for calls between the system's processes.
	callShare = 12
	// defaultBodyMemory is what they may take where the memory is unknown.
	defaultBodyMemory = 256 << 20
)

// bodyMemory returns a part of the memory in bytes, or the default where the memory is unknown.
func bodyMemory(memoryMB, share int) int {
	if memoryMB == 0 {
		return defaultBodyMemory
	}
	return memoryMB << 20 / share
}

// CallMemory returns how many bytes the calls of the system's other processes may take together.
func (s *Common) CallMemory() int { return bodyMemory(s.MemoryMB, callShare) }
