package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Estimate is one estimated cost of one role at the target size.
type Estimate struct {
	Role        string
	Description string
	// Formula shows the calculation of Value with its numbers.
	Formula string
	Value   float64
	Unit    string
	// Limit is the target's limit, zero if there is none.
	Limit float64
}

// WithinLimit reports whether the value is within the limit, if there is one.
func (e Estimate) WithinLimit() bool { return e.Limit == 0 || e.Value <= e.Limit }

func (e Estimate) verdict() string {
	switch {
	case e.Limit == 0:
		return "no limit named"
	case e.WithinLimit():
		return fmt.Sprintf("reaches: %.0f%% of the limit", 100*e.Value/e.Limit)
	default:
		return fmt.Sprintf("**does not reach**: %.1f times the limit", e.Value/e.Limit)
	}
}

func estimateTable(list []Estimate) string {
	var b strings.Builder
	b.WriteString("| role | what | how | value | limit | verdict |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range list {
		limit := "-"
		if e.Limit > 0 {
			limit = formatNumber(e.Limit) + " " + e.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s |\n",
			e.Role, e.Description, e.Formula, formatNumber(e.Value), e.Unit, limit, e.verdict())
	}
	return b.String()
}

// estimates returns the costs of all roles at the target size, computed from the
// slopes.
func estimates(f Fits) []Estimate {
	return slices.Concat(entryControlEstimates(f), entryTrafficEstimates(f), regionalControlEstimates(f), globalControlEstimates(f), operatorToolEstimates(f), systemEstimates(f))
}

// announcementsPerSecond is the rate at which an entry receives announcements of
// backend servers.
const announcementsPerSecond = regionEngines * announcementFanOut / regionEntries / announceIntervalSeconds

// viewChangesPerSecond is the rate of changes of a region's view: changes of
// declarations, restarts (two changes each: the server leaves and returns) and
// changes of the entries' reported loads.
const viewChangesPerSecond = targetChangesPerDay/secondsPerDay + 2*targetRestartsPerDay/targetRegions/secondsPerDay + regionEntries/loadChangeIntervalSeconds

func entryControlEstimates(f Fits) []Estimate {
	const role = "entry, control's share"
	idleCPU, perAnnouncement := f.Get("idle-entry-cpu-per-engine"), f.Get("idle-entry-cpu-per-engine").PerUnit
	deltas := viewChangesPerSecond*f.Get("entry-server-delta-cpu").At(regionEngines)/1e4 +
		targetChangesPerDay/secondsPerDay*f.Get("entry-object-delta-cpu").At(targetMembers)/1e4
	cpu := idleCPU.Intercept + perAnnouncement*announcementsPerSecond + deltas
	viewMB := (f.Get("entry-memory-per-server").PerUnit*regionEngines + f.Get("entry-memory-per-member").PerUnit*targetMembers) / 1e6
	memory := f.Get("idle-entry-memory-per-engine").Intercept + 2*viewMB
	baseBytes := f.Get("idle-entry-bytes-per-engine").Intercept
	heartbeatBytesRate := announcementsPerSecond / reportIntervalSeconds * heartbeatBytes
	changeBytesRate := viewChangesPerSecond * (watchCallBytes + f.Get("delta-per-declaration-object").At(1))
	return []Estimate{
		{role, "processor time", fmt.Sprintf("%.2f base + %.4f × %.1f announcements/s heard + %.4f for %.2f view changes/s",
			idleCPU.Intercept, perAnnouncement, announcementsPerSecond, deltas, viewChangesPerSecond), cpu, "% of a core", limitCPUPercent},
		{role, "memory", fmt.Sprintf("%.1f MB process + 2 × %.2f MB of view (%.0f servers of the region, %.0f members)",
			f.Get("idle-entry-memory-per-engine").Intercept, viewMB, regionEngines, targetMembers), memory, "MB", limitMemoryMB},
		{role, "bytes", fmt.Sprintf("%.0f for Watch and Report + %.0f for heartbeats + %.0f for view changes",
			baseBytes, heartbeatBytesRate, changeBytesRate), baseBytes + heartbeatBytesRate + changeBytesRate, "bytes/s", limitBytesPerSecond},
	}
}

func entryTrafficEstimates(f Fits) []Estimate {
	const role = "entry, traffic"
	rate := targetRequestsPerSecond / targetEntries
	decisionMicros := f.Get("entry-request-cpu").At(regionEngines)
	tokens := targetTokensPerSecond / targetEntries
	openStreams := rate * streamDurationSeconds
	return []Estimate{
		{role, "decisions", fmt.Sprintf("%.1f requests/s × %.0f µs over %.0f servers", rate, decisionMicros, regionEngines),
			rate * decisionMicros / 1e4, "% of a core", 0},
		{role, "relayed tokens", fmt.Sprintf("%.0f tokens/s at %.0f per core-second", tokens, relayTokensPerCore),
			100 * tokens / relayTokensPerCore, "% of a core", 0},
		{role, "memory of streams", fmt.Sprintf("%.1f requests/s × %.0f s × (%.0f kB + %.2f kB in the reducer)", rate, streamDurationSeconds,
			streamKB, f.Get("entry-memory-per-request").PerUnit/1000),
			openStreams * (streamKB + f.Get("entry-memory-per-request").PerUnit/1000) / 1000, "MB", 0},
	}
}

func regionalControlEstimates(f Fits) []Estimate {
	const role = "control replica of a region"
	leaderCPU := f.Get("idle-leader-cpu-per-entry")
	announcements := regionEngines * announcementFanOut / reportIntervalSeconds
	reportCPU := announcements * f.Get("control-report-cpu").PerUnit / 1e4
	changeCPU := viewChangesPerSecond * f.Get("control-view-change-cpu").At(regionEntries) / 1e4
	sweepCPU := f.Get("control-tick-cpu").At(regionEngines) * 10 / 1e4
	claimRate := targetRequestsPerSecond / targetRegions * atMostOnceShare
	claimCPU := claimRate * f.Get("control-claim-cpu").Intercept / 1e4
	keptClaims := claimRate * atMostOnceRetentionHours * 3600
	stateMB := (f.Get("control-memory-per-server").PerUnit*regionEngines + f.Get("control-memory-per-member").PerUnit*targetMembers +
		f.Get("control-memory-per-entry").PerUnit*regionEntries) / 1e6
	claimMB := f.Get("control-memory-per-claim").PerUnit * keptClaims / 1e6
	leaderBytes := f.Get("idle-leader-bytes-per-entry").At(regionEntries)
	return []Estimate{
		{role, "leader's processor time", fmt.Sprintf("%.1f for %.0f entries + %.2f reports + %.2f view changes + %.2f sweeps + %.2f claims",
			leaderCPU.At(regionEntries), regionEntries, reportCPU, changeCPU, sweepCPU, claimCPU),
			leaderCPU.At(regionEntries) + reportCPU + changeCPU + sweepCPU + claimCPU, "% of a core", 0},
		{role, "state but claims", fmt.Sprintf("%.0f servers, %.0f members, %.0f entries", regionEngines, targetMembers, regionEntries), stateMB, "MB", 0},
		{role, "claims kept", fmt.Sprintf("%.0f/s (%.0f%% of requests) × %.0f h × %.0f bytes", claimRate, 100*atMostOnceShare, atMostOnceRetentionHours,
			f.Get("control-memory-per-claim").PerUnit), claimMB, "MB", 0},
		{role, "leader's bytes", fmt.Sprintf("%.0f entries", regionEntries), leaderBytes, "bytes/s", 0},
		{role, "bytes to a follower for claims", fmt.Sprintf("%.0f claims/s × %.0f bytes, twice (claim and settle)", claimRate,
			f.Get("append-per-claim").PerUnit), 2 * claimRate * f.Get("append-per-claim").PerUnit, "bytes/s", 0},
	}
}

func globalControlEstimates(f Fits) []Estimate {
	const role = "control replica of declarations"
	applyMicros := f.Get("control-apply-cpu").At(targetMembers)
	return []Estimate{
		{role, "processor time", fmt.Sprintf("%.0f changes a day × %.1f ms", targetChangesPerDay, applyMicros/1000),
			targetChangesPerDay / secondsPerDay * applyMicros / 1e4, "% of a core", 0},
		{role, "state", fmt.Sprintf("%.0f members", targetMembers), f.Get("control-memory-per-member").At(targetMembers) / 1e6, "MB", 0},
		{role, "a change in force everywhere", fmt.Sprintf("a leader change (%.2f s) in both groups + twice in force (%.3f s)", leaderChangeP99Seconds, propagationP99Seconds),
			2*leaderChangeP99Seconds + 2*propagationP99Seconds, "s", limitPropagationSeconds},
	}
}

func operatorToolEstimates(f Fits) []Estimate {
	return []Estimate{{"operator tool", "bytes of one apply", fmt.Sprintf("%.0f members", targetMembers),
		f.Get("full-view-per-member").At(targetMembers) / 1000, "kB", 0}}
}

func systemEstimates(Fits) []Estimate {
	return []Estimate{
		{"all", "VMs set aside for control", fmt.Sprintf("%.0f regions × %.0f + %.0f", targetRegions, replicasPerGroup, replicasPerGroup),
			targetRegions*replicasPerGroup + replicasPerGroup, "VMs", targetControlVMs},
		{"all", "share of KV cache that could pass through entries", fmt.Sprintf("%.0f entries × %.2f GB/s of %.0f GB/s", targetEntries, entryLinkGBPerSecond, targetKVGBPerSecond),
			100 * targetEntries * entryLinkGBPerSecond / targetKVGBPerSecond, "%", 0},
		{"all", "share of engines' links that moving all KV cache would take", fmt.Sprintf("%.0f of %.0f engines × %.1f GB/s", targetKVGBPerSecond, targetEngines, engineLinkGBPerSecond),
			100 * targetKVGBPerSecond / (targetEngines * engineLinkGBPerSecond), "%", 0},
	}
}
