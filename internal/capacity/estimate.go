package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Estimate is one cost of one role at the target size.
type Estimate struct {
	Role        string
	Description string
	// Formula shows the calculation of Value with its numbers.
	Formula string
	Value   float64
	Unit    string
	// Limit is the target's, zero where it names none.
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
			limit = number(e.Limit) + " " + e.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s |\n",
			e.Role, e.Description, e.Formula, number(e.Value), e.Unit, limit, e.verdict())
	}
	return b.String()
}

// estimates works out the costs of all roles at the target from the slopes.
func estimates(f Fits) []Estimate {
	return slices.Concat(entryControl(f), entryTraffic(f), regionalControl(f), globalControl(f), operatorTool(f), whole(f))
}

// heardPerSecond is how many announcements an entry hears in a second.
const heardPerSecond = regionEngines * announcedTo / regionEntries / announceSeconds

// viewChanges is how many changes of a region's view there are in a second:
// declarations, restarts (gone and back), and steps of entries' loads.
const viewChanges = targetChanges/secondsPerDay + 2*targetRestarts/targetRegions/secondsPerDay + regionEntries/loadStepSeconds

func entryControl(f Fits) []Estimate {
	const role = "entry, control's share"
	idle, perHeard := f.Get("idle-entry-cpu-per-engine"), f.Get("idle-entry-cpu-per-engine").PerUnit
	deltas := viewChanges*f.Get("entry-server-delta-cpu").At(regionEngines)/1e4 +
		targetChanges/secondsPerDay*f.Get("entry-object-delta-cpu").At(targetMembers)/1e4
	cpu := idle.Intercept + perHeard*heardPerSecond + deltas
	heap := (f.Get("entry-memory-per-server").PerUnit*regionEngines + f.Get("entry-memory-per-member").PerUnit*targetMembers) / 1e6
	memory := f.Get("idle-entry-memory-per-engine").Intercept + 2*heap
	base := f.Get("idle-entry-bytes-per-engine").Intercept
	heartbeats := heardPerSecond / reportSeconds * heartbeatBytes
	changes := viewChanges * (callBytes + f.Get("delta-per-declaration-object").At(1))
	return []Estimate{
		{role, "processor time", fmt.Sprintf("%.2f base + %.4f × %.1f announcements/s heard + %.4f for %.2f view changes/s",
			idle.Intercept, perHeard, heardPerSecond, deltas, viewChanges), cpu, "% of a core", limitCPU},
		{role, "memory", fmt.Sprintf("%.1f MB process + 2 × %.2f MB of view (%.0f servers of the region, %.0f members)",
			f.Get("idle-entry-memory-per-engine").Intercept, heap, regionEngines, targetMembers), memory, "MB", limitMemory},
		{role, "bytes", fmt.Sprintf("%.0f for Watch and Report + %.0f for heartbeats + %.0f for view changes",
			base, heartbeats, changes), base + heartbeats + changes, "bytes/s", limitBytes},
	}
}

func entryTraffic(f Fits) []Estimate {
	const role = "entry, traffic"
	rate := targetRequests / targetEntries
	decide := f.Get("entry-request-cpu").At(regionEngines)
	tokens := targetTokens / targetEntries
	open := rate * streamSeconds
	return []Estimate{
		{role, "decisions", fmt.Sprintf("%.1f requests/s × %.0f µs over %.0f servers", rate, decide, regionEngines),
			rate * decide / 1e4, "% of a core", 0},
		{role, "relayed tokens", fmt.Sprintf("%.0f tokens/s at %.0f per core-second", tokens, relayTokensPerCore),
			100 * tokens / relayTokensPerCore, "% of a core", 0},
		{role, "memory of streams", fmt.Sprintf("%.1f requests/s × %.0f s × (%.0f kB + %.2f kB in the reducer)", rate, streamSeconds,
			streamKB, f.Get("entry-memory-per-request").PerUnit/1000),
			open * (streamKB + f.Get("entry-memory-per-request").PerUnit/1000) / 1000, "MB", 0},
	}
}

func regionalControl(f Fits) []Estimate {
	const role = "control replica of a region"
	leader := f.Get("idle-leader-cpu-per-entry")
	announcements := regionEngines * announcedTo / reportSeconds
	reports := announcements * f.Get("control-report-cpu").PerUnit / 1e4
	changes := viewChanges * f.Get("control-view-change-cpu").At(regionEntries) / 1e4
	ticks := f.Get("control-tick-cpu").At(regionEngines) * 10 / 1e4
	claimRate := targetRequests / targetRegions * onceShare
	claims := claimRate * f.Get("control-claim-cpu").Intercept / 1e4
	kept := claimRate * onceHours * 3600
	state := (f.Get("control-memory-per-server").PerUnit*regionEngines + f.Get("control-memory-per-member").PerUnit*targetMembers +
		f.Get("control-memory-per-entry").PerUnit*regionEntries) / 1e6
	claimState := f.Get("control-memory-per-claim").PerUnit * kept / 1e6
	leaderBytes := f.Get("idle-leader-bytes-per-entry").At(regionEntries)
	return []Estimate{
		{role, "leader's processor time", fmt.Sprintf("%.1f for %.0f entries + %.2f reports + %.2f view changes + %.2f sweeps + %.2f claims",
			leader.At(regionEntries), regionEntries, reports, changes, ticks, claims),
			leader.At(regionEntries) + reports + changes + ticks + claims, "% of a core", 0},
		{role, "state but claims", fmt.Sprintf("%.0f servers, %.0f members, %.0f entries", regionEngines, targetMembers, regionEntries), state, "MB", 0},
		{role, "claims kept", fmt.Sprintf("%.0f/s (%.0f%% of requests) × %.0f h × %.0f bytes", claimRate, 100*onceShare, onceHours,
			f.Get("control-memory-per-claim").PerUnit), claimState, "MB", 0},
		{role, "leader's bytes", fmt.Sprintf("%.0f entries", regionEntries), leaderBytes, "bytes/s", 0},
		{role, "bytes to a follower for claims", fmt.Sprintf("%.0f claims/s × %.0f bytes, twice (claim and settle)", claimRate,
			f.Get("append-per-claim").PerUnit), 2 * claimRate * f.Get("append-per-claim").PerUnit, "bytes/s", 0},
	}
}

func globalControl(f Fits) []Estimate {
	const role = "control replica of declarations"
	apply := f.Get("control-apply-cpu").At(targetMembers)
	return []Estimate{
		{role, "processor time", fmt.Sprintf("%.0f changes a day × %.1f ms", targetChanges, apply/1000),
			targetChanges / secondsPerDay * apply / 1e4, "% of a core", 0},
		{role, "state", fmt.Sprintf("%.0f members", targetMembers), f.Get("control-memory-per-member").At(targetMembers) / 1e6, "MB", 0},
		{role, "a change in force everywhere", fmt.Sprintf("a leader change (%.2f s) in both groups + twice in force (%.3f s)", leaderChangeP99, inForceP99),
			2*leaderChangeP99 + 2*inForceP99, "s", limitInForce},
	}
}

func operatorTool(f Fits) []Estimate {
	return []Estimate{{"operator tool", "bytes of one apply", fmt.Sprintf("%.0f members", targetMembers),
		f.Get("full-view-per-member").At(targetMembers) / 1000, "kB", 0}}
}

func whole(Fits) []Estimate {
	return []Estimate{
		{"all", "VMs set aside for control", fmt.Sprintf("%.0f regions × %.0f + %.0f", targetRegions, replicasOfGroup, replicasOfGroup),
			targetRegions*replicasOfGroup + replicasOfGroup, "VMs", targetControl},
		{"all", "share of KV cache that could pass through entries", fmt.Sprintf("%.0f entries × %.2f GB/s of %.0f GB/s", targetEntries, entryLinkGB, targetKV),
			100 * targetEntries * entryLinkGB / targetKV, "%", 0},
		{"all", "share of engines' links that moving all KV cache would take", fmt.Sprintf("%.0f of %.0f engines × %.1f GB/s", targetKV, targetEngines, engineLinkGB),
			100 * targetKV / (targetEngines * engineLinkGB), "%", 0},
	}
}
