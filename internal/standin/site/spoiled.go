package site

import (
	"io"
	"net/http"
	"strings"
)

const (
	// maxSpoiledBytes is how much is sent of bytes without end, more than an entry may have memory.
	maxSpoiledBytes = 512 << 20
	// spoiledBlock is the size of one write of them, in bytes.
	spoiledBlock = 64 << 10
)

// spoiledAnswer is sent in place of an answer. ID stands for the request's ID, and endless is repeated until the connection
// is closed.
type spoiledAnswer struct{ begin, endless string }

var spoiledAnswers = []spoiledAnswer{
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Length: 11\r\n\r\nwrong bytes"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: wrong\n\n"},
	{begin: "HTTP/1.1 429 Too Many Requests\r\nX-Rillreach-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\n\r\n", endless: "x"},
	{endless: "x"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\nName: ", endless: "x"},
	{begin: "HTTP/1.1 200 OK\r\nX-Rillreach-Attempt-Id: ID\r\n", endless: "a:b\r\n"},
	{endless: "HTTP/1.1 100 Continue\r\n\r\n"},
}

// SpoiledForms returns the number of ways in which WriteSpoiled spoils an answer.
func SpoiledForms() int { return len(spoiledAnswers) }

// WriteSpoiled sends bytes that are no answer of the runner, or that have no end, and closes the connection.
func WriteSpoiled(w http.ResponseWriter, r *http.Request, form int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in's server supports it
	}
	defer func() { _ = conn.Close() }()
	a := spoiledAnswers[form]
	_, err = io.WriteString(conn, strings.ReplaceAll(a.begin, "ID", RequestID(r)))
	if a.endless == "" {
		return
	}
	block := strings.Repeat(a.endless, spoiledBlock/len(a.endless))
	for sent := 0; sent < maxSpoiledBytes && err == nil; sent += len(block) {
		_, err = io.WriteString(conn, block)
	}
}
