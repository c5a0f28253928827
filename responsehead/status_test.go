package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// invalidStatusLines begin no response.
var invalidStatusLines = []string{
	"", "x", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK",
	"HTTP/1.1 -20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/7.3 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	"HTTP/1.10 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK",
}

// validStatusLines begin a response.
var validStatusLines = []string{
	"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints", "HTTP/1.1 204 No Content",
	"HTTP/1.1 299 Odd", "HTTP/1.1 421 Misdirected Request", "HTTP/1.1 429 Too Many Requests", "HTTP/1.1 503 caf\xe9", "HTTP/1.1 599 \t Odd",
}

func TestStatusLine(t *testing.T) {
	for _, line := range invalidStatusLines {
		t.Run(line, func(t *testing.T) {
			require.ErrorIs(t, Check([]byte(line+"\r\n\r\n")), ErrInvalid)
			if resp := parse(line + "\r\n\r\n"); resp != nil {
				assert.ErrorIs(t, CheckParsed(resp, false), ErrInvalid)
			}
		})
	}
	for _, line := range validStatusLines {
		t.Run(line, func(t *testing.T) {
			require.NoError(t, Check([]byte(line+"\r\n\r\n")))
			require.NoError(t, Check([]byte(line+"\n\n")))
			resp := parse(line + "\r\n\r\n")
			require.NotNil(t, resp)
			assert.NoError(t, CheckParsed(resp, false))
		})
	}
	t.Run("a switch of protocols that was requested", func(t *testing.T) {
		assert.NoError(t, CheckParsed(parse("HTTP/1.1 101 Switching Protocols\r\n\r\n"), true))
	})
}

// parse returns the response that package net/http reads, nil if it reads none.
func parse(head string) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	if err != nil {
		return nil
	}
	return resp
}
