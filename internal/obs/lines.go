package obs

// Messages of the lines that tell of one request, in the order of its life. Who writes
// them and who reads them share the names.
const (
	LineDecision             = "decision"
	LineAwaitedConfiguration = "waited for a configuration"
	LinePrefillFailed        = "prefill apart failed"
	LineLateDecodeEngine     = "decoding engine named after the attempt had ended"
	LineTaskPanicked         = "a task panicked"
	LineAttemptFailed        = "attempt failed"
	LineAnswered             = "answered"
	LineRefused              = "refused"
	LineReadiness            = "readiness changed"
)
