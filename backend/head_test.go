package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

// invalidHeads begin no response.
var invalidHeads = map[string]string{
	"a status of 000":      "HTTP/1.1 000 OK\r\n",
	"a status with a sign": "HTTP/1.1 +20 OK\r\n",
	"a status of 600":      "HTTP/1.1 600 OK\r\n",
	"another version":      "HTTP/7.3 200 OK\r\n",
	"a blank in a name":    "HTTP/1.1 200 OK\r\nX Fill: v\r\n",
	"a blank after a name": "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n",
}

// Guards against passing on a response of a backend server whose head is not valid.
func TestInvalidHeadBelieved(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if assert.NoError(t, err) {
					_, _ = io.WriteString(conn, head+"Content-Length: 4\r\n\r\npart")
					_ = conn.Close()
				}
			}))
			t.Cleanup(server.Close)
			c := &Client{BaseURL: server.URL, HTTP: NewHTTPClient()}
			resp, err := c.Do(context.Background(), rillreach.BackendRequest{Method: http.MethodGet, Path: "/x"})
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Error(t, err)
		})
	}
}
