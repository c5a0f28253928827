package deployment

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Renaming a field renamed the key that operators' tools read in the output of the settings check.
func TestSettingsChangeTheirJSONNames(t *testing.T) {
	keys := func(value any) (names []string) {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		fields := map[string]json.RawMessage{}
		require.NoError(t, json.Unmarshal(data, &fields))
		for name := range fields {
			names = append(names, name)
		}
		return names
	}
	t.Run("settings", func(t *testing.T) {
		assert.ElementsMatch(t, []string{
			"Name", "Zone", "Host", "Regions", "Bounds", "Store", "Callers", "Readiness", "Runner", "Service", "FirstPort", "LastPort", "MemoryMB", "Bootstrap",
		}, keys(Settings{}))
	})
	t.Run("bounds", func(t *testing.T) {
		assert.ElementsMatch(t, []string{
			"Contact", "RunnerStop", "Grace", "RetryRatio", "RetryWindow", "RetrySlack", "Evacuation", "SlowStartOver", "SlowStartSlack", "Weights", "VersionExposure",
		}, keys(Bounds{}))
	})
}
