package obs

// Messages of the log lines about one request, in the order in which they occur. They are
// constants since the code that reads logs compares them with the messages written.
const (
	LineDecision             = "decision"
	LineAwaitedConfiguration = "waited for a configuration"
	LineAwaitedMemory        = "waited for the memory of a large event"
	LinePrefillFailed        = "prefill apart failed"
	LineLateDecodeEngine     = "decoding engine named after the attempt had ended"
	LineTaskPanicked         = "a task panicked"
	LineAttemptFailed        = "attempt failed"
	LineForwarding           = "passing on to another entry"
	LineForwarded            = "passed on to another entry"
	LineAnswered             = "answered"
	LineRefused              = "refused"
	LineCutOff               = "cut off by the end of a planned stop"
	LineReadiness            = "readiness changed"
)
