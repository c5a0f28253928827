// Package explain reads the log lines of several processes and tells the story of one request: what was decided about it,
// and what the processes that decided believed at that moment.
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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line; Fields holds all of it.
type Line struct {
	Time     time.Time      `json:"time"`
	Level    string         `json:"level"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Request  string         `json:"request,omitempty"`
	Fields   map[string]any `json:"fields"`
}

// RequestHistory is what is known of one request.
type RequestHistory struct {
	Request string `json:"request"`
	// Lines are the decisions about the request, in the order of their time.
	Lines []Line `json:"lines"`
	// PriorState are the last lines before the request's first in which a process that decided about it changed what it
	// believed: configuration, weights, dependencies, and the runners that the request met.
	PriorState []Line `json:"beliefs"`
}

// Read reads log lines; what stands before a line's JSON is left out, and lines that hold none are passed over.
func Read(from io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
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

// HistoryOf picks the story of one request out of the lines.
func HistoryOf(lines []Line, request string) RequestHistory {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	story := RequestHistory{Request: request}
	instances, runners := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		story.Lines = append(story.Lines, line)
		instances[line.Instance] = true
		for _, field := range []string{"chosen", "runner"} {
			if name, ok := line.Fields[field].(string); ok {
				runners[name] = true
			}
		}
	}
	if len(story.Lines) > 0 {
		story.PriorState = beliefs(lines, story.Lines[0].Time, instances, runners)
	}
	return story
}

// beliefs are the last changes of what the instances believed, one for each thing believed.
func beliefs(lines []Line, before time.Time, instances, runners map[string]bool) []Line {
	last := map[string]Line{}
	var order []string
	for _, line := range lines {
		if line.Time.After(before) {
			break
		}
		about := subject(line, runners)
		if about == "" || !instances[line.Instance] {
			continue
		}
		key := line.Instance + " " + about
		if _, known := last[key]; known {
			order = slices.DeleteFunc(order, func(other string) bool { return other == key })
		}
		last[key] = line
		order = append(order, key)
	}
	told := make([]Line, 0, len(order))
	for _, key := range order {
		told = append(told, last[key])
	}
	return told
}

// subject names what a line says something about, or is empty where the line is no change of belief that matters.
func subject(line Line, runners map[string]bool) string {
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
