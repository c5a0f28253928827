package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func request() Request {
	return Request{Caller: "shop", Method: "POST", Host: "shop.example", Target: "/chat/x?y", Body: []byte("hello")}
}

func TestFingerprint(t *testing.T) {
	one := request()
	t.Run("the same request has the same one", func(t *testing.T) {
		again := request()
		assert.Equal(t, one.Fingerprint(), again.Fingerprint())
	})
	for name, change := range map[string]func(*Request){
		"caller": func(r *Request) { r.Caller = "other" },
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "other.example" },
		"target": func(r *Request) { r.Target = "/chat/x" },
		"body":   func(r *Request) { r.Body = []byte("hellO") },
		"place of a byte": func(r *Request) {
			r.Target, r.Body = r.Target+"h", []byte("ello")
		},
	} {
		t.Run("another "+name+" makes another one", func(t *testing.T) {
			other := request()
			change(&other)
			assert.NotEqual(t, one.Fingerprint(), other.Fingerprint())
		})
	}
	t.Run("a log shows little of it", func(t *testing.T) {
		assert.Len(t, one.Fingerprint().String(), 2*shown)
	})
}
