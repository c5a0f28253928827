package responseclass

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		response Response
		want     Class
	}{
		{Response{Status: 200, Sealed: true}, Answered},
		{Response{Status: 204, Sealed: true}, Answered},
		{Response{Status: 304, Sealed: true}, Answered},
		{Response{Status: 404, Sealed: true}, Answered},
		{Response{Status: 429, Sealed: true}, Answered},
		{Response{Status: 500, Sealed: true}, Failed},
		{Response{Status: 503, Sealed: true}, Failed},
		{Response{Status: 504, Sealed: true}, Failed},
		{Response{Status: 503, NotExecuted: true}, Refused},
		{Response{Status: 503, NotExecuted: true, Sealed: true}, Refused},
		{Response{Status: 429, NotExecuted: true}, Refused},
		{Response{Status: 421, NotExecuted: true}, Refused},
		{Response{Status: 400, NotExecuted: true}, Refused},
	} {
		t.Run(fmt.Sprintf("%+v", c.response), func(t *testing.T) {
			assert.Equal(t, c.want, Classify(c.response))
		})
	}
}

// Guards against a response that no runner has sealed and that is forwarded, or is taken for a promise that nothing has run.
func TestUnsealedResponseBelieved(t *testing.T) {
	for status := 100; status < 600; status++ {
		assert.Equal(t, Invalid, Classify(Response{Status: status}), "status %d", status)
	}
}

// Guards against taking a success for a refusal, after which the request would run once more.
func TestSuccessTakenForRefusal(t *testing.T) {
	for status := 100; status < 400; status++ {
		for _, sealed := range []bool{false, true} {
			assert.Equal(t, Invalid, Classify(Response{Status: status, NotExecuted: true, Sealed: sealed}), "status %d", status)
		}
	}
}
