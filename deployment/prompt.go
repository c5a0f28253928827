package deployment

import "github.com/rillreach/rillreach"

// Part is a piece of a prompt, shared with the other prompts that name it after the same parts.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request says of its prompt without its text.
type Prompt struct {
	Model rillreach.ModelID
	// Tokens is the prompt's length, MaxOut the longest answer.
	Tokens          int
	MaxOutputTokens int
	Parts           []Part
}

// SharedParts are the parts that may come again: all but the last, which is the request's own.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// UnsharedTokens is how many of the prompt's tokens are of no shared part.
func (p *Prompt) UnsharedTokens() int {
	own := p.Tokens
	for _, part := range p.SharedParts() {
		own -= part.Tokens
	}
	return max(0, own)
}
