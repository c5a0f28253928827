package explain

import "slices"

// partEvidence returns the lines, up to and including the last one of the history, in which runners have ended under the
// parts of prompts that the history names, and those in which the parts were quarantined.
func partEvidence(lines, history []Line) []Line {
	refused := map[string]bool{}
	for _, line := range history {
		if part, ok := line.Fields["part"].(string); ok {
			refused[part] = true
		}
	}
	var evidence []Line
	if len(refused) == 0 {
		return evidence
	}
	last := history[len(history)-1].Time
	for _, line := range lines {
		if line.Time.After(last) {
			break
		}
		if !slices.ContainsFunc(history, line.equals) && slices.ContainsFunc(line.parts(), func(part string) bool { return refused[part] }) {
			evidence = append(evidence, line)
		}
	}
	return evidence
}

// equals reports whether both lines are of the same instance, request, message and time.
func (l *Line) equals(other Line) bool {
	return l.Time.Equal(other.Time) && l.Instance == other.Instance && l.Request == other.Request && l.Message == other.Message
}

// parts returns the parts of prompts under which the line says that a runner has ended, or that the line says are
// quarantined. Other requests that were refused for them are left out.
func (l *Line) parts() []string {
	if part, ok := l.Fields["part"].(string); ok && l.Request == "" {
		return []string{part}
	}
	named, ok := l.Fields["parts"].([]any)
	if !ok || l.Fields["decision"] != "suspect" {
		return nil
	}
	var parts []string
	for _, one := range named {
		if part, ok := one.(string); ok {
			parts = append(parts, part)
		}
	}
	return parts
}
