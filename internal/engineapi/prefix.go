package engineapi

import "github.com/cespare/xxhash/v2"

const (
	// BytesPerToken is the usual mean of text in European languages; tokens
	// are estimated with it where the engine's tokenizer is not at hand.
	BytesPerToken = 4
	// BlockTokens is how many prompt tokens one hash of a prefix chain covers.
	// 256 tokens are about a page of text: a chain of a 60,000 token dossier
	// has 234 hashes, and what a shared prefix loses at its end is small
	// against it.
	BlockTokens = 256
	// blockBytes is the same in bytes of the prompt.
	blockBytes = BlockTokens * BytesPerToken
)

// PrefixChain gives the chained hashes of a prompt's whole blocks, as engines
// name them in CacheEvents: each hash covers the salt and all text before it,
// so that members never share one.
func PrefixChain(salt, prompt string) []uint64 {
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = digest.WriteString(prompt[:blockBytes])
		chain = append(chain, digest.Sum64())
	}
	return chain
}
