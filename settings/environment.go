package settings

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// EnvPrefix is the common prefix of all environment variables that are settings.
const EnvPrefix = "RILLREACH_"

// RejectUnknownVariables returns an error if the environment contains variables that start with EnvPrefix and aren't
// known.
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
