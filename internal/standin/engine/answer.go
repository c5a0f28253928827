package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rillreach/rillreach/internal/standin"
)

// completion is the processing of one prompt.
type completion struct {
	request prompt
	chat    bool
	tokens  []string
	blocks  []uint64
	words   []string
	cached  int
}

type usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	Details          promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (s *Server) newCompletion(p prompt, chat bool) *completion {
	tokens := p.tokens()
	return &completion{
		request: p,
		chat:    chat,
		tokens:  tokens,
		blocks:  blockHashes(p.Salt, tokens),
		words:   ResponseWords(string(s.Version), strings.Join(tokens, " "), p.MaxTokens),
	}
}

func (c *completion) usage() *usage {
	return &usage{
		PromptTokens:     len(c.tokens),
		CompletionTokens: len(c.words),
		TotalTokens:      len(c.tokens) + len(c.words),
		Details:          promptTokensDetails{CachedTokens: c.cached},
	}
}

func (c *completion) object(stream bool) string {
	switch {
	case c.chat && stream:
		return "chat.completion.chunk"
	case c.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (c *completion) chunk(stream bool, choices ...choice) chunk {
	return chunk{ID: "cmpl-standin", Object: c.object(stream), Model: c.request.Model, Choices: choices}
}

func (c *completion) choice(stream bool, text string, finish *string) choice {
	switch {
	case !c.chat:
		return choice{Text: &text, FinishReason: finish}
	case stream:
		return choice{Delta: &content{Content: text}, FinishReason: finish}
	default:
		return choice{Message: &content{Role: "assistant", Content: text}, FinishReason: finish}
	}
}

// streamResponse sends the response as server-sent events of one word each.
func (s *Server) streamResponse(w http.ResponseWriter, r *http.Request, c *completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i, word := range c.words {
		if i > 0 && !sleep(r.Context(), s.TokenInterval) {
			s.count(func(st *stats) { st.Cancelled++ })
			return
		}
		writeEvent(w, c.chunk(true, c.choice(true, " "+word, nil)))
		_ = flusher.Flush()
	}
	stop := "stop"
	writeEvent(w, c.chunk(true, c.choice(true, "", &stop)))
	if c.request.StreamOptions.IncludeUsage {
		last := c.chunk(true)
		last.Choices = []choice{}
		last.Usage = c.usage()
		writeEvent(w, last)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = flusher.Flush()
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, c *completion) {
	for range c.words {
		if !sleep(r.Context(), s.TokenInterval) {
			s.count(func(st *stats) { st.Cancelled++ })
			return
		}
	}
	stop := "stop"
	answer := c.chunk(false, c.choice(false, " "+strings.Join(c.words, " "), &stop))
	answer.Usage = c.usage()
	standin.WriteJSON(w, answer)
}

func writeEvent(w http.ResponseWriter, event chunk) {
	data, err := json.Marshal(event)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
