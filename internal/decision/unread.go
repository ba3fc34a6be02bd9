package decision

// NumRanks is how many ranks work can have at an engine; 0 is read first.
const NumRanks = 10

// PrefillBacklog are tokens of prompts that are not read yet, by the rank of their work.
//
// Engines begin prompts in the order of rank and read what they have begun to its end:
// prompts of 1,000 tokens were read in 85 ms (half of the cases) at rank 0, in 87 ms at
// rank 1 and in 189 ms at rank 2, on engines that had as much to read; but one of rank 0
// took a second behind one of 55,000 tokens that was begun. So work is held up by its own
// rank and those before it, and by a part of what comes after.
type PrefillBacklog [NumRanks]int

// begunShare is the part of lower ranks' tokens that counts as begun. Without it short
// urgent prompts take engines that read long ones for those with nothing to do.
const begunShare = 0.5

// AddTokens adds tokens of that rank.
func (u *PrefillBacklog) AddTokens(rank, tokens int) { u[min(max(0, rank), NumRanks-1)] += tokens }

// Merge puts another one's tokens to it.
func (u *PrefillBacklog) Merge(o *PrefillBacklog) {
	for rank, tokens := range o {
		u[rank] += tokens
	}
}

// Total is how many tokens there are of all ranks.
func (u *PrefillBacklog) Total() int {
	sum := 0
	for _, tokens := range u {
		sum += tokens
	}
	return sum
}

// Ahead is how many tokens are read before work of that rank that comes last.
func (u *PrefillBacklog) Ahead(rank int) float64 {
	sum := 0.0
	for of, tokens := range u {
		if of <= rank {
			sum += float64(tokens)
		} else {
			sum += begunShare * float64(tokens)
		}
	}
	return sum
}
