package deployment

import "github.com/rillreach/rillreach"

// Part is a segment of a prompt. Prompts that have the same IDs up to and including a part share its KV cache.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the metadata that a request gives about its prompt. It does not include the text.
type Prompt struct {
	Model rillreach.ModelID
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutputTokens is the maximum length of the response.
	MaxOutputTokens int
	Parts           []Part
}

// SharedParts returns the parts that other prompts may share: all but the last, which is specific to the request.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// UnsharedTokens returns the number of tokens in the prompt that belong to no shared part.
func (p *Prompt) UnsharedTokens() int {
	unshared := p.Tokens
	for _, part := range p.SharedParts() {
		unshared -= part.Tokens
	}
	return max(0, unshared)
}
