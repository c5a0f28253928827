package identify

import (
	"bytes"
	"encoding/json"

	"github.com/rillreach/rillreach"
)

const (
	bytesPerToken            = 4
	chunkSize                = 4 << 10
	roleUser                 = "user"
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldMessages            = "messages"
	fieldPrompt              = "prompt"
	fieldCacheKey            = "prompt_cache_key"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// readPrompt reads the fields of a prompt that affect routing. It keeps all others unchanged.
func readPrompt(req *rillreach.Request) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &fields); err != nil || fields == nil {
		return badRequest("body is not a JSON object")
	}
	req.BodyFields = fields
	if err := readField(fields, fieldModel, &req.Model); err != nil {
		return err
	}
	if req.Model == "" {
		return badRequest("body has no model")
	}
	for name, dst := range map[string]any{
		fieldStream: &req.Stream, fieldCacheKey: &req.CacheKey, fieldMaxTokens: &req.MaxTokens, fieldMaxCompletionTokens: &req.MaxTokens,
	} {
		if err := readField(fields, name, dst); err != nil {
			return err
		}
	}
	return splitPrompt(req)
}

func readField(fields map[string]json.RawMessage, name string, dst any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return badRequest("field " + name + " is of the wrong type")
	}
	return nil
}

// splitPrompt splits the prompt into parts: its messages, or chunks of fixed size if it has none. Later prompts of the
// conversation usually start with the same parts.
func splitPrompt(req *rillreach.Request) error {
	if raw, ok := req.BodyFields[fieldMessages]; ok {
		return splitMessages(req, raw)
	}
	raw, ok := req.BodyFields[fieldPrompt]
	if !ok {
		return badRequest("body has neither messages nor a prompt")
	}
	req.OpeningParts = 1
	for len(raw) > chunkSize {
		req.Parts = append(req.Parts, raw[:chunkSize])
		raw = raw[chunkSize:]
	}
	req.Parts = append(req.Parts, raw)
	estimateTokens(req)
	return nil
}

func splitMessages(req *rillreach.Request, raw json.RawMessage) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return badRequest("field messages is not a list of messages")
	}
	for i, m := range messages {
		var part bytes.Buffer
		if err := json.Compact(&part, m); err != nil {
			return badRequest("a message is not JSON")
		}
		req.Parts = append(req.Parts, part.Bytes())
		if req.OpeningParts == 0 && messageRole(m) == roleUser {
			req.OpeningParts = i + 1
		}
	}
	if req.OpeningParts == 0 {
		req.OpeningParts = len(messages)
	}
	estimateTokens(req)
	return nil
}

func messageRole(m json.RawMessage) string {
	var head struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(m, &head); err != nil {
		return ""
	}
	return head.Role
}

func estimateTokens(req *rillreach.Request) {
	size := 0
	for _, part := range req.Parts {
		size += len(part)
	}
	req.Tokens = size / bytesPerToken
}

func badRequest(message string) error {
	return rillreach.NotRun(rillreach.ReasonBadRequest, message)
}
