// Package explain reconstructs the history of one request from the logs of several processes: the decisions about the
// request, and the state that the deciding processes had at that time. It also summarizes prompts per second.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line. Fields contains all keys that have no field of their own, except the role.
type Line struct {
	Time     time.Time      `json:"time"`
	Level    string         `json:"level"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Request  string         `json:"request,omitempty"`
	Fields   map[string]any `json:"fields"`
}

// RequestHistory contains the log lines that explain one request.
type RequestHistory struct {
	Request string `json:"request"`
	// Lines are the log lines of the request, ordered by time, and those in which other requests take its stream up.
	Lines []Line `json:"lines"`
	// PriorState is the state before the request, as the latest log lines up to the request's first one: configuration,
	// weights, dependencies, evacuations, process starts and stops, and the runners of the request. Only processes
	// that logged the request are included.
	PriorState []Line `json:"beliefs"`
	// Evidence are the lines of other requests and processes that led to the quarantine of a part of the request's prompt:
	// under which runs the part had ended, and which process said so.
	Evidence []Line `json:"evidence,omitempty"`
}

// Read parses JSON log lines. Text before the JSON object of a line is ignored, and lines without one are skipped.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parseLine parses one line. The second result is false if the line contains no JSON object with a message.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		return Line{}, false
	}
	if err := json.Unmarshal(text[start:], &line.Fields); err != nil {
		return Line{}, false
	}
	for _, name := range []string{"time", "level", "msg", "instance", "role", "request"} {
		delete(line.Fields, name)
	}
	return line, true
}

// HistoryOf returns the history of one request. It sorts lines by time in place.
func HistoryOf(lines []Line, request string) RequestHistory {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	history := RequestHistory{Request: request}
	instances, runners := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Request != request && line.Fields["resumes"] != request {
			continue
		}
		history.Lines = append(history.Lines, line)
		instances[line.Instance] = true
		for _, field := range []string{"chosen", "runner"} {
			if name, ok := line.Fields[field].(string); ok {
				runners[name] = true
			}
		}
	}
	if len(history.Lines) > 0 {
		history.PriorState = priorState(lines, history.Lines[0].Time, instances, runners)
		history.Evidence = partEvidence(lines, history.Lines)
	}
	return history
}

// priorState returns the latest line per instance and state key, up to and including the given time.
func priorState(lines []Line, before time.Time, instances, runners map[string]bool) []Line {
	last := map[string]Line{}
	var order []string
	for _, line := range lines {
		if line.Time.After(before) {
			break
		}
		state := stateKey(line, runners)
		if state == "" || !instances[line.Instance] {
			continue
		}
		key := line.Instance + " " + state
		if _, known := last[key]; known {
			order = slices.DeleteFunc(order, func(other string) bool { return other == key })
		}
		last[key] = line
		order = append(order, key)
	}
	changes := make([]Line, 0, len(order))
	for _, key := range order {
		changes = append(changes, last[key])
	}
	return changes
}

// stateKey identifies the piece of state whose change a line logs. It is empty if the line logs no relevant change of
// state.
func stateKey(line Line, runners map[string]bool) string {
	text := func(field string) string {
		value, ok := line.Fields[field].(string)
		if !ok {
			return ""
		}
		return value
	}
	switch {
	case line.Request != "":
		return ""
	case line.Message == "configuration in force":
		return "configuration"
	case line.Message == "evacuated zones":
		return "evacuations"
	case line.Message == "weights named":
		return "weights " + text("model")
	case strings.HasPrefix(line.Message, "dependency "):
		return "dependency " + text("dependency") + text("kind") + text("agent") + text("holder")
	case strings.HasPrefix(line.Message, "runner ") && runners[text("runner")]:
		return "runner " + text("runner")
	case line.Message == "starting", line.Message == "stopping":
		return "process"
	default:
		return ""
	}
}
