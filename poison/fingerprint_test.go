package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func testRequest() Request {
	return Request{Caller: "shop", Method: "POST", Host: "shop.example", Target: "/chat/x?y", Body: []byte("hello")}
}

func TestFingerprint(t *testing.T) {
	one := testRequest()
	t.Run("equal requests have the same fingerprint", func(t *testing.T) {
		again := testRequest()
		assert.Equal(t, one.Fingerprint(), again.Fingerprint())
	})
	for name, change := range map[string]func(*Request){
		"caller": func(r *Request) { r.Caller = "other" },
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "other.example" },
		"target": func(r *Request) { r.Target = "/chat/x" },
		"body":   func(r *Request) { r.Body = []byte("hellO") },
		"boundary between target and body": func(r *Request) {
			r.Target, r.Body = r.Target+"h", []byte("ello")
		},
	} {
		t.Run("changing the "+name+" changes the fingerprint", func(t *testing.T) {
			other := testRequest()
			change(&other)
			assert.NotEqual(t, one.Fingerprint(), other.Fingerprint())
		})
	}
	t.Run("only a prefix is logged", func(t *testing.T) {
		assert.Len(t, one.Fingerprint().String(), 2*loggedBytes)
	})
}
