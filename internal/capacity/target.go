package capacity

// The target of letter 1, and how it is laid out here: one control group of
// three replicas per region and one for declarations.
const (
	targetEntries   = 330.0
	targetEngines   = 2700.0
	targetRegions   = 6.0
	targetRequests  = 4600.0
	targetTokens    = 1.8e6
	targetMembers   = 1300.0
	targetChanges   = 3700.0
	targetRestarts  = 28.0 + 250.0
	targetKV        = 2500.0
	targetControl   = 21.0
	limitCPU        = 1.1
	limitMemory     = 64.0
	limitBytes      = 3000.0
	limitInForce    = 7.0
	secondsPerDay   = 86400.0
	replicasOfGroup = 3.0

	regionEntries = targetEntries / targetRegions
	regionEngines = targetEngines / targetRegions
)

// Assumptions where letter 1 gives no number.
const (
	// announcedTo is how many entries each backend server announces itself to,
	// announceSeconds how often at that size (entry.Snapshot.AnnounceAnswer).
	announcedTo     = 3.0
	announceSeconds = 1.5
	// heartbeatBytes is a relayed heartbeat with its load.
	heartbeatBytes = 60.0
	// reportSeconds is an entry's pace of reports.
	reportSeconds = 2.0
	// loadStepSeconds: an entry's load moves by a fifth about once in ten
	// minutes, since the offered mix moves by half in a day and callers spread.
	loadStepSeconds = 600.0
	// callBytes is a Watch call with its answer, headers included.
	callBytes = 850.0
	// onceShare is the share of requests that are once-only calls.
	onceShare = 0.05
	// onceHours is how long a once-only key is remembered.
	onceHours = 24.0
	// streamSeconds is how long a stream is open: 390 tokens at 36 ms.
	streamSeconds = 14.0
	// relayTokensPerCore and streamKB are goldcrest-load overhead's figures
	// (docs/MEASUREMENTS.md).
	relayTokensPerCore = 40000.0
	streamKB           = 127.0
	// entryLinkGB is a 10 Gbit/s link, engineLinkGB a 100 Gbit/s one, in GB/s.
	entryLinkGB  = 1.25
	engineLinkGB = 12.5
	// globalInForceP99 is goldcrest-control's measured time from acceptance to
	// in force at all entries of one region (docs/design/views.md), in seconds;
	// leaderChangeP99 the measured time without a leader after a kill.
	inForceP99      = 0.022
	leaderChangeP99 = 0.942
)
