// Package authenticate implements the filter that identifies a request's client account by its API key.
package authenticate

import (
	"context"
	"strings"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/table"
)

const bearerPrefix = "Bearer "

// Filter verifies the caller's API key.
type Filter struct {
	// Table provides the credentials.
	Table *table.Table
}

// Name returns the filter's name.
func (Filter) Name() string { return "authenticate" }

// Run sets the request's account, and removes the API key from the forwarded header.
func (f Filter) Run(_ context.Context, x *rillreach.Exchange) error {
	key, ok := strings.CutPrefix(x.Request.Header.Get("Authorization"), bearerPrefix)
	x.Request.Header.Del("Authorization")
	account, secret, wellFormed := rillreach.ParseAPIKey(key)
	if !ok || !wellFormed {
		return rillreach.NotRun(rillreach.ReasonUnauthorized, "no usable key in the Authorization header")
	}
	if !rillreach.MatchAny(f.Table.Credentials(account), secret) {
		return rillreach.NotRun(rillreach.ReasonUnauthorized, "key is not valid")
	}
	x.Request.Account = account
	return nil
}
