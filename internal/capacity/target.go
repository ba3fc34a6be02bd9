package capacity

// The target size and its limits. The estimates assume one control group of three
// replicas per region and one for declarations.
const (
	targetEntries           = 330.0
	targetEngines           = 2700.0
	targetRegions           = 6.0
	targetRequestsPerSecond = 4600.0
	targetTokensPerSecond   = 1.8e6
	targetMembers           = 1300.0
	targetChangesPerDay     = 3700.0
	targetRestartsPerDay    = 28.0 + 250.0
	targetKVGBPerSecond     = 2500.0
	targetControlVMs        = 21.0
	limitCPUPercent         = 1.1
	limitMemoryMB           = 64.0
	limitBytesPerSecond     = 3000.0
	limitPropagationSeconds = 7.0
	secondsPerDay           = 86400.0
	replicasPerGroup        = 3.0

	regionEntries = targetEntries / targetRegions
	regionEngines = targetEngines / targetRegions
)

// Assumptions where the target gives no number.
const (
	// announcementFanOut is the number of entries that each backend server announces
	// itself to, announceIntervalSeconds the interval that entries tell servers to use
	// in a deployment of the target size (entry.Snapshot.AnnounceAnswer).
	announcementFanOut      = 3.0
	announceIntervalSeconds = 1.5
	// heartbeatBytes is the size of a relayed heartbeat with the server's load.
	heartbeatBytes = 60.0
	// reportIntervalSeconds is the interval of an entry's reports to control.
	reportIntervalSeconds = 2.0
	// loadChangeIntervalSeconds is the time in which an entry's load changes by a
	// fifth: about ten minutes, since the mix of requests changes by half in a day and
	// callers are spread over the entries.
	loadChangeIntervalSeconds = 600.0
	// watchCallBytes is the size of a Watch call and its response with headers.
	watchCallBytes = 850.0
	// atMostOnceShare is the share of requests that are at-most-once calls.
	atMostOnceShare = 0.05
	// atMostOnceRetentionHours is how long control keeps the key of an at-most-once
	// call.
	atMostOnceRetentionHours = 24.0
	// streamDurationSeconds is the duration of a stream: 390 tokens at 36 ms.
	streamDurationSeconds = 14.0
	// relayTokensPerCore (tokens relayed per core-second) and streamKB (memory of an
	// open stream) are figures of `goldcrest-load overhead`, see docs/MEASUREMENTS.md.
	relayTokensPerCore = 40000.0
	streamKB           = 127.0
	// The links of an entry (10 Gbit/s) and of an engine (100 Gbit/s).
	entryLinkGBPerSecond  = 1.25
	engineLinkGBPerSecond = 12.5
	// propagationP99Seconds is the 99th percentile of the time from the acceptance of
	// a change until all entries of one region apply it (docs/design/views.md),
	// leaderChangeP99Seconds that of the time without a leader after a kill.
	propagationP99Seconds  = 0.022
	leaderChangeP99Seconds = 0.942
)
