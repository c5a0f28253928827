package deployment

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
)

func TestAllowedRegions(t *testing.T) {
	type list = []rillreach.RegionID
	for name, c := range map[string]struct {
		route, account, want list
		limited              bool
	}{
		"unrestricted":              {},
		"restricted by route":       {route: list{"b", "a"}, want: list{"a", "b"}, limited: true},
		"restricted by account":     {account: list{"a"}, want: list{"a"}, limited: true},
		"restricted by both":        {route: list{"a", "b"}, account: list{"b", "c"}, want: list{"b"}, limited: true},
		"no region allowed by both": {route: list{"a"}, account: list{"b"}, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			regions, restricted := AllowedRegions(&Route{Regions: c.route}, &Account{Regions: c.account})
			assert.ElementsMatch(t, c.want, regions)
			assert.Equal(t, c.limited, restricted)
		})
	}
}

func TestSaltRoundTrip(t *testing.T) {
	for _, s := range []Salt{
		{Model: "m", Weights: 1},
		{Model: "m", Weights: 1, Account: "a"},
		{Model: "m", Weights: 1, Regions: []rillreach.RegionID{"r1", "r2"}},
		{Model: "m", Weights: 1, Account: "a", Regions: []rillreach.RegionID{"r1"}},
	} {
		t.Run(s.String(), func(t *testing.T) {
			parsed, ok := ParseSalt(s.String())
			assert.True(t, ok)
			assert.Equal(t, s, parsed)
		})
	}
}
