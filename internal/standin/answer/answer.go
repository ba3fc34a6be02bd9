// Package answer makes the stand-ins' text, so that whoever knows the prompt
// and the seed can check a whole answer byte for byte.
//
// Each token depends on the prompt, the seed and all text before it. An entry
// that hands a wrong prefix to the next engine, drops a token, doubles one or
// mixes two requests up therefore changes every byte that follows.
package answer

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// MarkInterval is how many tokens apart the member's mark stands in an answer:
// often enough that a leaked chunk of a few tokens shows whose it is.
const MarkInterval = 8

var marks = regexp.MustCompile(`\[member=([a-z0-9-]+)\]`)

// Mark gives a member's mark as it stands in prompts and answers.
func Mark(member string) string { return "[member=" + member + "]" }

// MemberOf gives the member whose mark comes first in text, or "".
func MemberOf(text string) string {
	found := marks.FindStringSubmatch(text)
	if found == nil {
		return ""
	}
	return found[1]
}

// ForeignMember gives a member, not the one given, whose mark stands in text, or "".
func ForeignMember(text, member string) string {
	for _, found := range marks.FindAllStringSubmatch(text, -1) {
		if found[1] != member {
			return found[1]
		}
	}
	return ""
}

// Generator gives the tokens of one answer in order.
type Generator struct {
	digest *xxhash.Digest
	mark   string
	next   int
}

// NewGenerator starts after the text that earlier attempts gave; tokens is how
// many tokens that text has.
func NewGenerator(prompt string, seed uint64, text string, tokens int) *Generator {
	g := &Generator{digest: xxhash.New(), next: tokens}
	if member := MemberOf(prompt); member != "" {
		g.mark = Mark(member)
	}
	g.write(prompt)
	g.digest.Write(binary.LittleEndian.AppendUint64(nil, seed))
	g.write(text)
	return g
}

// Next gives the next token's text.
func (g *Generator) Next() string {
	token := fmt.Sprintf(" %07x", g.digest.Sum64()>>36)
	if g.next%MarkInterval == 0 {
		token = " " + g.mark + token
	}
	g.next++
	g.write(token)
	return token
}

func (g *Generator) write(text string) { _, _ = g.digest.WriteString(text) }

// FullText gives the whole answer of that many tokens.
func FullText(prompt string, seed uint64, tokens int) string {
	g := NewGenerator(prompt, seed, "", 0)
	var b strings.Builder
	for range tokens {
		b.WriteString(g.Next())
	}
	return b.String()
}

// EstimatePromptTokens estimates how many tokens a prompt has.
func EstimatePromptTokens(prompt string) int { return len(prompt)/engineapi.BytesPerToken + 1 }
