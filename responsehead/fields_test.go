package responsehead

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFields(t *testing.T) {
	for _, line := range []string{
		"X Fill: v", "X-Fill : v", "X\x01Fill: v", "X\tFill: v", "X\x7fFill: v", "X\xe9: v", ": v", "v", "X(Fill): v", " X-Fill: v", "\tX-Fill: v", "X-Fill: v\x00", "X-Fill: a\rb", "X\r-Fill: v",
		"Content-Length : 9", "Transfer-Encoding : chunked",
	} {
		t.Run("invalid: "+line, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nName: value\r\n" + line + "\r\nOther: value\r\n\r\n"
			require.ErrorIs(t, Check([]byte(head)), ErrInvalid)
			continues := line[0] == ' ' || line[0] == '\t'
			if resp := parse(head); resp != nil && !continues {
				assert.ErrorIs(t, CheckParsed(resp, false), ErrInvalid)
			}
		})
	}
	for _, line := range []string{
		"X-Fill: v", "x-fIlL:v", "X_FILL:\tv \t", "X-Fill:", "X-Fill: a\tb", "X-Fill: caf\xe9", "1!#$%&'*+-.^_`|~z: v", "X-Fill: a: b", "X-Fill: \"(,;)\"",
	} {
		t.Run("valid: "+line, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"
			require.NoError(t, Check([]byte(head)))
			resp := parse(head)
			require.NotNil(t, resp)
			assert.NoError(t, CheckParsed(resp, false))
		})
	}
}

func FuzzCheck(f *testing.F) {
	for _, line := range append(append([]string{}, invalidStatusLines...), validStatusLines...) {
		f.Add([]byte(line + "\r\nName: value\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		if Check(head) != nil {
			return
		}
		if resp := parse(string(head)); resp != nil {
			assert.NoError(t, CheckParsed(resp, false), "a head that is valid as it is read is not valid once it is parsed")
		}
	})
}
