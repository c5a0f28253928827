package settings

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix begins the names of the environment variables that are settings.
const Prefix = "RILLREACH_"

// CheckEnvironment refuses variables that look like settings and are not.
func CheckEnvironment(environment []string, known map[string]bool) error {
	var unknown []string
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, Prefix) && !known[name] {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return errors.Newf("unknown environment variables: %s", strings.Join(unknown, ", "))
}
