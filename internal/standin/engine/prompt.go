package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/hash"
)

const (
	blockTokens   = 16
	defaultAnswer = 8
	maxAnswer     = 4096
)

// prompt is the part of a request that the stand-in looks at.
type prompt struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Prompt        string    `json:"prompt"`
	Stream        bool      `json:"stream"`
	MaxTokens     int       `json:"max_tokens"`
	Salt          string    `json:"cache_salt"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, errors.Wrap(err, "read prompt")
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultAnswer
	}
	p.MaxTokens = min(p.MaxTokens, maxAnswer)
	return p, nil
}

// tokens are the words of the prompt, each message led by its role.
func (p prompt) tokens() []string {
	if p.Prompt != "" {
		return strings.Fields(p.Prompt)
	}
	var tokens []string
	for _, m := range p.Messages {
		tokens = append(tokens, "<"+m.Role+">")
		tokens = append(tokens, strings.Fields(string(m.Content))...)
	}
	return tokens
}

// blocks are the chained hashes of the prompt's whole blocks.
func blocks(salt string, tokens []string) []uint64 {
	chain := hash.String(salt)
	hashes := make([]uint64, 0, len(tokens)/blockTokens)
	for i := 0; i+blockTokens <= len(tokens); i += blockTokens {
		chain = hash.Mix(chain, hash.String(strings.Join(tokens[i:i+blockTokens], " ")))
		hashes = append(hashes, chain)
	}
	return hashes
}

// ResponseWords is the answer of a weight version to a prompt's text, so that a test can tell whether it is whole.
func ResponseWords(version, text string, count int) []string {
	sum := hash.Mix(hash.String(version), hash.String(strings.Join(strings.Fields(text), " ")))
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("%x.%d", sum, i)
	}
	return words
}
