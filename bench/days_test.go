package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// daysDir holds the days of our own.
const daysDir = "../deploy/days"

// dayFile is a file with a day of our own, which stands at its top level or in a list of days.
type dayFile struct {
	day
	Days []day `toml:"day"`
}

// day is one day: what is planned, what fails, and the marks that it is measured by. It holds no traffic, since that names
// zones and kinds of request.
type day struct {
	Name    string         `toml:"name"`
	Slot    string         `toml:"slot"`
	Seed    int64          `toml:"seed"`
	One     float64        `toml:"one"`
	Zero    float64        `toml:"zero"`
	Goal    map[string]any `toml:"goal"`
	Labels  []string       `toml:"labels"`
	Wall    float64        `toml:"wall"`
	Light   bool           `toml:"light"`
	Closing map[string]any `toml:"closing"`
	Plan    []dayEvent     `toml:"plan"`
	Faults  []dayEvent     `toml:"faults"`
}

// dayEvent is one entry of a day, with all the fields that a day may have.
type dayEvent struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	ForS    float64 `toml:"for_s"`
	GapS    float64 `toml:"gap_s"`
	Share   float64 `toml:"share"`
	Count   int     `toml:"count"`
	X       float64 `toml:"x"`
	How     string  `toml:"how"`
	On      string  `toml:"on"`
	Zone    string  `toml:"zone"`
	ToZone  string  `toml:"to_zone"`
	Region  string  `toml:"region"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
}

// TestDaysFitEverySite reads the days as a hunt does: only files that lie directly in the folder, none of which may name what
// other sites don't have.
func TestDaysFitEverySite(t *testing.T) {
	entries, err := os.ReadDir(daysDir)
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	for _, entry := range entries {
		t.Run(entry.Name(), func(t *testing.T) {
			require.True(t, entry.Type().IsRegular(), "a hunt plays no subfolder")
			require.Equal(t, ".toml", filepath.Ext(entry.Name()))
			data, err := os.ReadFile(filepath.Join(daysDir, entry.Name()))
			require.NoError(t, err)
			assertPurpose(t, data)
			days, err := decodeDays(data)
			require.NoError(t, err)
			for _, d := range days {
				assertFitsEverySite(t, d)
			}
		})
	}
}

// TestSiteSpecificNamesAreFound spoils a day that fits, a field at a time.
func TestSiteSpecificNamesAreFound(t *testing.T) {
	for _, field := range []string{"zone", "to_zone", "region", "service", "class"} {
		t.Run(field, func(t *testing.T) {
			days, err := decodeDays([]byte(`faults = [{ at = 1.0, kind = "burst", ` + field + ` = "kigali" }]`))
			require.NoError(t, err)
			require.Len(t, days, 1)
			assert.Len(t, siteSpecificNames(days[0]), 1)
		})
	}
	t.Run("placeholder of another field", func(t *testing.T) {
		days, err := decodeDays([]byte(`[[day]]` + "\n" + `plan = [{ at = 1.0, kind = "release", service = "@z0" }]`))
		require.NoError(t, err)
		require.Len(t, days, 1)
		assert.Equal(t, []string{"@z0"}, siteSpecificNames(days[0]))
	})
	t.Run("traffic", func(t *testing.T) {
		_, err := decodeDays([]byte(`traffic = [{ zone = "@z0", per_s = 1.0 }]`))
		assert.Error(t, err)
	})
	t.Run("days that fit", func(t *testing.T) {
		days, err := decodeDays([]byte(`faults = [{ kind = "burst", zone = "@z0", to_zone = "@z1", service = "@s0", class = "@c0" }]`))
		require.NoError(t, err)
		require.Len(t, days, 1)
		assert.Empty(t, siteSpecificNames(days[0]))
	})
}

// decodeDays reads a file of days, and refuses fields that it doesn't know.
func decodeDays(data []byte) ([]day, error) {
	var file dayFile
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, err
	}
	if len(file.Days) == 0 {
		return []day{file.day}, nil
	}
	return file.Days, nil
}

// assertPurpose fails unless the file begins with a comment that says something.
func assertPurpose(t *testing.T, data []byte) {
	t.Helper()
	first, _, _ := strings.Cut(string(data), "\n")
	purpose, commented := strings.CutPrefix(first, "# ")
	assert.True(t, commented, "the first line is no comment: %q", first)
	assert.NotEmpty(t, strings.TrimSpace(purpose))
}

// assertFitsEverySite fails for a day without a name, with an entry of no kind, or with names of one site.
func assertFitsEverySite(t *testing.T, d day) {
	t.Helper()
	assert.NotEmpty(t, d.Name)
	assert.NotEmpty(t, d.Slot)
	assert.Empty(t, siteSpecificNames(d))
	for _, entry := range slices.Concat(d.Plan, d.Faults) {
		assert.NotEmpty(t, entry.Kind)
	}
}

// siteSpecificNames lists the zones, regions, services and kinds of request that are named other than by their place in a site file.
func siteSpecificNames(d day) []string {
	var foreign []string
	check := func(name, prefix string) {
		if name != "" && !isPlaceholder(name, prefix) {
			foreign = append(foreign, name)
		}
	}
	for _, entry := range slices.Concat(d.Plan, d.Faults) {
		check(entry.Zone, "@z")
		check(entry.ToZone, "@z")
		check(entry.Service, "@s")
		check(entry.Class, "@c")
		if entry.Region != "" {
			foreign = append(foreign, entry.Region)
		}
	}
	return foreign
}

// isPlaceholder says whether a name is the prefix and a number.
func isPlaceholder(name, prefix string) bool {
	number, found := strings.CutPrefix(name, prefix)
	return found && number != "" && strings.Trim(number, "0123456789") == ""
}
