package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/internal/hash"
)

const (
	tokensPerBlock      = 16
	defaultAnswerTokens = 8
	maxAnswerTokens     = 4096
)

// prompt contains the fields of a request that the stand-in uses.
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
		p.MaxTokens = defaultAnswerTokens
	}
	p.MaxTokens = min(p.MaxTokens, maxAnswerTokens)
	return p, nil
}

// tokens returns the words of the prompt, with each message preceded by its role.
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

// blockHashes returns the chained hashes of the prompt's complete blocks.
func blockHashes(salt string, tokens []string) []uint64 {
	chainHash := hash.String(salt)
	hashes := make([]uint64, 0, len(tokens)/tokensPerBlock)
	for i := 0; i+tokensPerBlock <= len(tokens); i += tokensPerBlock {
		chainHash = hash.Mix(chainHash, hash.String(strings.Join(tokens[i:i+tokensPerBlock], " ")))
		hashes = append(hashes, chainHash)
	}
	return hashes
}

// ResponseWords returns the response of a weight version to a prompt, so that a test can check that a response is
// complete.
func ResponseWords(version, text string, count int) []string {
	sum := hash.Mix(hash.String(version), hash.String(strings.Join(strings.Fields(text), " ")))
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("%x.%d", sum, i)
	}
	return words
}
