package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	longestFirst = int64(time.Minute / time.Microsecond)
	digits       = 3
	historyWords = 600
	turnWords    = 40
	answerTokens = 12
	doneEvent    = "data: [DONE]"
)

// traffic is what the demonstration's callers have seen.
type traffic struct {
	client *http.Client
	key    string

	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	requests int
	whole    int
	lost     int
	prompt   int
	cached   int
}

func newTraffic(key string) *traffic {
	return &traffic{client: &http.Client{}, key: key, first: hdrhistogram.New(1, longestFirst, digits)}
}

// message is one of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// conversation is a caller's, whose prompts return.
type conversation struct {
	number   int
	messages []message
}

func newConversation(number int) *conversation {
	c := &conversation{number: number}
	c.say(historyWords)
	return c
}

// say adds a message of the user's.
func (c *conversation) say(words int) {
	var text strings.Builder
	for i := range words {
		_, _ = fmt.Fprintf(&text, "c%dm%dw%d ", c.number, len(c.messages), i)
	}
	c.messages = append(c.messages, message{Role: "user", Content: text.String()})
}

type promptBody struct {
	Model         string        `json:"model"`
	Stream        bool          `json:"stream"`
	MaxTokens     int           `json:"max_tokens"`
	StreamOptions streamOptions `json:"stream_options"`
	Messages      []message     `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// send sends the conversation's next prompt and takes its answer into the conversation.
func (t *traffic) send(ctx context.Context, url string, c *conversation) error {
	body, err := json.Marshal(promptBody{
		Model: string(Model), Stream: true, MaxTokens: answerTokens, StreamOptions: streamOptions{IncludeUsage: true}, Messages: c.messages,
	})
	if err != nil {
		return errors.Wrap(err, "encode prompt")
	}
	start := time.Now()
	answer, first, err := t.stream(ctx, url, string(body))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if err != nil || !strings.Contains(answer, doneEvent) {
		t.lost++
		return nil
	}
	t.whole++
	_ = t.first.RecordValue(first.Sub(start).Microseconds())
	t.count(answer)
	c.messages = append(c.messages, message{Role: "assistant", Content: textOf(answer)})
	return nil
}

// stream sends one prompt, and returns the answer's events and when the first of them came.
func (t *traffic) stream(ctx context.Context, url, body string) (string, time.Time, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	resp, err := t.client.Do(req)
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "send prompt")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", time.Time{}, errors.Newf("entry answered with status %d", resp.StatusCode)
	}
	head := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, head); err != nil {
		return "", time.Time{}, errors.Wrap(err, "read answer")
	}
	first := time.Now()
	rest, err := io.ReadAll(resp.Body)
	return string(head) + string(rest), first, errors.Wrap(err, "read answer")
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func events(answer string) []event {
	var list []event
	for _, line := range strings.Split(answer, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var e event
		if ok && json.Unmarshal([]byte(data), &e) == nil {
			list = append(list, e)
		}
	}
	return list
}

// count adds what the answer's usage says was reused.
func (t *traffic) count(answer string) {
	for _, e := range events(answer) {
		if e.Usage != nil {
			t.prompt += e.Usage.PromptTokens
			t.cached += e.Usage.Details.Cached
		}
	}
}

func textOf(answer string) string {
	var text strings.Builder
	for _, e := range events(answer) {
		if len(e.Choices) > 0 {
			text.WriteString(e.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// share is the part of the prompts' tokens that was computed.
func (t *traffic) share() float64 {
	if t.prompt == 0 {
		return 0
	}
	return 1 - float64(t.cached)/float64(t.prompt)
}

func (t *traffic) quantile(q float64) float64 {
	return float64(t.first.ValueAtQuantile(q)) / 1000
}
