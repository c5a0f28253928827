package eventstream

// Parser follows a stream of server-sent events, whose lines end with LF, CRLF or CR. The zero value is at the beginning
// of a stream.
type Parser struct {
	events int
	// line is the content of the current line so far. inEvent is set once the current event has a field.
	line    lineContent
	inEvent bool
	// afterCR is set if the last byte was a CR, which a LF may complete to one line end. endsEvent is set if that line
	// end is the end of an event.
	afterCR   bool
	endsEvent bool
}

// lineContent is what a line has so far.
type lineContent int

const (
	lineEmpty lineContent = iota
	lineComment
	lineField
)

// noEnd is the result of Feed if no event ends in the data.
const noEnd = -1

// Feed follows the next data of the stream. It returns the index behind the last blank line in it, where the data can be
// parted between two events, or -1 if there is none. A CR at the end of the data is counted once the next byte is known.
func (p *Parser) Feed(data []byte) (end int) {
	end = noEnd
	for i, b := range data {
		switch {
		case p.afterCR && b == '\n':
			if p.endsEvent {
				end = i + 1
			}
			p.afterCR, p.endsEvent = false, false
			continue
		case p.endsEvent:
			end = i
		}
		p.afterCR, p.endsEvent = false, false
		switch b {
		case '\r':
			p.afterCR, p.endsEvent = true, p.endLine()
		case '\n':
			if p.endLine() {
				end = i + 1
			}
		default:
			p.extendLine(b)
		}
	}
	return end
}

// extendLine adds a byte to the current line.
func (p *Parser) extendLine(b byte) {
	if p.line != lineEmpty {
		return
	}
	if b == ':' {
		p.line = lineComment
		return
	}
	p.line, p.inEvent = lineField, true
}

// endLine ends the current line, and reports whether it was blank.
func (p *Parser) endLine() bool {
	if p.line != lineEmpty {
		p.line = lineEmpty
		return false
	}
	if p.inEvent {
		p.events++
	}
	p.inEvent = false
	return true
}

// Inside reports whether the data so far ends inside an event or a line. A comment that is complete is no part of an
// event.
func (p *Parser) Inside() bool { return p.inEvent || p.line != lineEmpty }

// Events returns the number of complete events so far.
func (p *Parser) Events() int { return p.events }

// HasEvent reports whether the beginning of a stream contains a complete event.
func HasEvent(beginning []byte) bool {
	var p Parser
	p.Feed(beginning)
	return p.Events() > 0
}

// Cut parts a stream behind its first blank line. If there is none, rest is empty.
func Cut(stream []byte) (event, rest []byte) {
	var p Parser
	for i := range stream {
		if end := p.Feed(stream[i : i+1]); end != noEnd {
			return stream[:i+end], stream[i+end:]
		}
	}
	return stream, nil
}
