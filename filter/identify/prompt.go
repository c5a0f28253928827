package identify

import (
	"bytes"
	"encoding/json"

	"github.com/rillreach/rillreach"
)

const (
	bytesPerToken = 4
	chunkSize     = 4 << 10
	roleUser      = "user"
	fieldModel    = "model"
	fieldStream   = "stream"
	fieldMessages = "messages"
	fieldPrompt   = "prompt"
	fieldCacheKey = "prompt_cache_key"
	fieldMax      = "max_tokens"
	fieldMaxNew   = "max_completion_tokens"
)

// readPrompt reads the fields of a prompt that matter for its way; all others stay untouched.
func readPrompt(req *rillreach.Request) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &fields); err != nil || fields == nil {
		return bad("body is not a JSON object")
	}
	req.BodyFields = fields
	if err := readField(fields, fieldModel, &req.Model); err != nil {
		return err
	}
	if req.Model == "" {
		return bad("body has no model")
	}
	for name, into := range map[string]any{
		fieldStream: &req.Stream, fieldCacheKey: &req.CacheKey, fieldMax: &req.MaxTokens, fieldMaxNew: &req.MaxTokens,
	} {
		if err := readField(fields, name, into); err != nil {
			return err
		}
	}
	return readParts(req)
}

func readField(fields map[string]json.RawMessage, name string, into any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return bad("field " + name + " is of the wrong type")
	}
	return nil
}

// readParts takes the prompt apart where later prompts of the conversation can differ from it.
func readParts(req *rillreach.Request) error {
	if raw, ok := req.BodyFields[fieldMessages]; ok {
		return readMessages(req, raw)
	}
	raw, ok := req.BodyFields[fieldPrompt]
	if !ok {
		return bad("body has neither messages nor a prompt")
	}
	req.OpeningParts = 1
	for len(raw) > chunkSize {
		req.Parts = append(req.Parts, raw[:chunkSize])
		raw = raw[chunkSize:]
	}
	req.Parts = append(req.Parts, raw)
	countTokens(req)
	return nil
}

func readMessages(req *rillreach.Request, raw json.RawMessage) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return bad("field messages is not a list of messages")
	}
	for i, m := range messages {
		var part bytes.Buffer
		if err := json.Compact(&part, m); err != nil {
			return bad("a message is not JSON")
		}
		req.Parts = append(req.Parts, part.Bytes())
		if req.OpeningParts == 0 && roleOf(m) == roleUser {
			req.OpeningParts = i + 1
		}
	}
	if req.OpeningParts == 0 {
		req.OpeningParts = len(messages)
	}
	countTokens(req)
	return nil
}

func roleOf(m json.RawMessage) string {
	var head struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(m, &head); err != nil {
		return ""
	}
	return head.Role
}

func countTokens(req *rillreach.Request) {
	size := 0
	for _, part := range req.Parts {
		size += len(part)
	}
	req.Tokens = size / bytesPerToken
}

func bad(message string) error {
	return rillreach.NotRun(rillreach.ReasonBadRequest, message)
}
