// Package authenticate is the filter that finds out which client account a request is from.
package authenticate

import (
	"context"
	"strings"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/table"
)

const bearer = "Bearer "

// Filter checks the caller's key.
type Filter struct {
	// Table holds the credentials.
	Table *table.Table
}

// Name is the step's name.
func (Filter) Name() string { return "authenticate" }

// Run sets the request's account, and takes the key out of what is passed on.
func (f Filter) Run(_ context.Context, x *rillreach.Exchange) error {
	key, ok := strings.CutPrefix(x.Request.Header.Get("Authorization"), bearer)
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
