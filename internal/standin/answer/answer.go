// Package answer generates the text of stand-in engines deterministically, so that
// a test that knows the prompt and the seed can check an answer byte for byte.
//
// Each token depends on the prompt, the seed and all preceding text. If an entry
// passes a wrong prefix to the next engine, drops or duplicates a token, or mixes
// up two requests, all of the following text changes.
package answer

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// MarkInterval is the number of tokens between two member marks in an answer. It
// is small, so that a leaked chunk of a few tokens shows whose it is.
const MarkInterval = 8

var memberMarks = regexp.MustCompile(`\[member=([a-z0-9-]+)\]`)

// Mark returns the mark that identifies a member in prompts and answers.
func Mark(member string) string { return "[member=" + member + "]" }

// MemberOf returns the member of the first mark in text, or "".
func MemberOf(text string) string {
	match := memberMarks.FindStringSubmatch(text)
	if match == nil {
		return ""
	}
	return match[1]
}

// ForeignMember returns the first member other than the given one whose mark is in
// text, or "".
func ForeignMember(text, member string) string {
	for _, match := range memberMarks.FindAllStringSubmatch(text, -1) {
		if match[1] != member {
			return match[1]
		}
	}
	return ""
}

// Generator generates the tokens of one answer in order.
type Generator struct {
	digest *xxhash.Digest
	mark   string
	next   int
}

// NewGenerator returns a generator that continues after text, the output of earlier
// attempts. tokens is the number of tokens in text.
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

// Next returns the text of the next token.
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

// FullText returns the complete answer with the given number of tokens.
func FullText(prompt string, seed uint64, tokens int) string {
	g := NewGenerator(prompt, seed, "", 0)
	var b strings.Builder
	for range tokens {
		b.WriteString(g.Next())
	}
	return b.String()
}

// EstimatePromptTokens estimates the number of tokens in a prompt from its length.
func EstimatePromptTokens(prompt string) int { return len(prompt)/engineapi.BytesPerToken + 1 }
