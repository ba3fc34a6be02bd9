package engineapi

import "github.com/cespare/xxhash/v2"

const (
	// BytesPerToken is the typical average for text in European languages. It
	// serves to estimate token counts without the engine's tokenizer.
	BytesPerToken = 4
	// BlockTokens is how many prompt tokens one hash of a prefix chain covers.
	// 256 tokens are about a page of text. The chain of a prompt of 60,000 tokens
	// has 234 hashes, and the end of a shared prefix that fills no block is small
	// in comparison.
	BlockTokens = 256
	// prefixBlockBytes is the size of a block in bytes of the prompt.
	prefixBlockBytes = BlockTokens * BytesPerToken
)

// PrefixChain returns the chained hashes of a prompt's complete blocks, as engines
// report them in CacheEvents. Each hash covers the salt and all text up to the end
// of its block, so that members never share one.
func PrefixChain(salt, prompt string) []uint64 {
	chain := make([]uint64, 0, len(prompt)/prefixBlockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt)
	for ; len(prompt) >= prefixBlockBytes; prompt = prompt[prefixBlockBytes:] {
		_, _ = digest.WriteString(prompt[:prefixBlockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}
