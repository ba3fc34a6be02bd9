package decision

// NumRanks is the number of ranks at an engine; rank 0 is prefilled first.
const NumRanks = 10

// PrefillBacklog holds the prompt tokens that are still to prefill, by the rank of their
// requests.
//
// Engines start prompts in the order of rank and prefill a started prompt to its end. With
// the same backlog, prompts of 1,000 tokens take 85 ms in the median at rank 0, 87 ms at
// rank 1 and 189 ms at rank 2; but one of rank 0 takes a second behind a started prompt of
// 55,000 tokens. So a request waits for its own rank and the ranks before it, and for a part
// of the ranks after it.
type PrefillBacklog [NumRanks]int

// startedShare is the fraction of lower-priority tokens that counts as started. Without it,
// short urgent prompts take engines that prefill long ones for idle.
const startedShare = 0.5

// AddTokens adds tokens of a rank.
func (b *PrefillBacklog) AddTokens(rank, tokens int) { b[min(max(0, rank), NumRanks-1)] += tokens }

// Merge adds the tokens of another backlog.
func (b *PrefillBacklog) Merge(other *PrefillBacklog) {
	for rank, tokens := range other {
		b[rank] += tokens
	}
}

// Total returns the number of tokens of all ranks.
func (b *PrefillBacklog) Total() int {
	sum := 0
	for _, tokens := range b {
		sum += tokens
	}
	return sum
}

// Ahead returns the number of tokens that are prefilled before a new request of the rank.
func (b *PrefillBacklog) Ahead(rank int) float64 {
	sum := 0.0
	for other, tokens := range b {
		if other <= rank {
			sum += float64(tokens)
		} else {
			sum += startedShare * float64(tokens)
		}
	}
	return sum
}
