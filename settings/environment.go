package settings

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// EnvPrefix begins the names of the environment variables that are settings.
const EnvPrefix = "RILLREACH_"

// RejectUnknownVariables refuses variables that look like settings and are not.
func RejectUnknownVariables(environment []string, known map[string]bool) error {
	var unknown []string
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return errors.Newf("unknown environment variables: %s", strings.Join(unknown, ", "))
}
