package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rillreach/rillreach/internal/standin"
)

// run is one prompt being answered.
type run struct {
	prompt prompt
	chat   bool
	tokens []string
	blocks []uint64
	words  []string
	cached int
}

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
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

func (s *Server) newRun(p prompt, chat bool) *run {
	tokens := p.tokens()
	return &run{
		prompt: p,
		chat:   chat,
		tokens: tokens,
		blocks: blocks(p.Salt, tokens),
		words:  ResponseWords(string(s.Version), strings.Join(tokens, " "), p.MaxTokens),
	}
}

func (r *run) usage() *usage {
	return &usage{
		PromptTokens:     len(r.tokens),
		CompletionTokens: len(r.words),
		TotalTokens:      len(r.tokens) + len(r.words),
		Details:          details{CachedTokens: r.cached},
	}
}

func (r *run) object(stream bool) string {
	switch {
	case r.chat && stream:
		return "chat.completion.chunk"
	case r.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (r *run) chunk(stream bool, choices ...choice) chunk {
	return chunk{ID: "cmpl-standin", Object: r.object(stream), Model: r.prompt.Model, Choices: choices}
}

func (r *run) choice(stream bool, text string, finish *string) choice {
	switch {
	case !r.chat:
		return choice{Text: &text, FinishReason: finish}
	case stream:
		return choice{Delta: &content{Content: text}, FinishReason: finish}
	default:
		return choice{Message: &content{Role: "assistant", Content: text}, FinishReason: finish}
	}
}

// stream sends the answer as server-sent events, one word each.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i, word := range run.words {
		if i > 0 && !sleep(r.Context(), s.TokenInterval) {
			s.count(func(st *stats) { st.Cancelled++ })
			return
		}
		writeEvent(w, run.chunk(true, run.choice(true, " "+word, nil)))
		_ = flusher.Flush()
	}
	stop := "stop"
	writeEvent(w, run.chunk(true, run.choice(true, "", &stop)))
	if run.prompt.StreamOptions.IncludeUsage {
		last := run.chunk(true)
		last.Choices = []choice{}
		last.Usage = run.usage()
		writeEvent(w, last)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = flusher.Flush()
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, run *run) {
	for range run.words {
		if !sleep(r.Context(), s.TokenInterval) {
			s.count(func(st *stats) { st.Cancelled++ })
			return
		}
	}
	stop := "stop"
	answer := run.chunk(false, run.choice(false, " "+strings.Join(run.words, " "), &stop))
	answer.Usage = run.usage()
	standin.WriteJSON(w, answer)
}

func writeEvent(w http.ResponseWriter, event chunk) {
	data, err := json.Marshal(event)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
