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

// daysDir contains the day files of this project. A day is a schedule of planned changes and faults for a test run.
const daysDir = "../deploy/days"

// dayFile is a file with one day at its top level or with a list of days.
type dayFile struct {
	day
	Days []day `toml:"day"`
}

// day is one day: the planned changes, the faults and the criteria by which it is scored. It has no traffic
// section, because traffic refers to the zones and request classes of one site.
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
	Length  float64        `toml:"length_s"`
	Classes []dayClass     `toml:"classes"`
	Plan    []dayEvent     `toml:"plan"`
	Faults  []dayEvent     `toml:"faults"`
}

// dayClass is what a day changes of a request class of the site.
type dayClass struct {
	Name    string `toml:"name"`
	Retries int    `toml:"retries"`
}

// dayEvent is a planned change or a fault, with all fields that a day may use.
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

// TestDaysFitEverySite guards against days that can only run on one site because they name its zones, regions,
// services or request classes. Only files directly in the folder are run, so it must have no subfolders.
func TestDaysFitEverySite(t *testing.T) {
	entries, err := os.ReadDir(daysDir)
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	for _, entry := range entries {
		t.Run(entry.Name(), func(t *testing.T) {
			require.True(t, entry.Type().IsRegular(), "days in subfolders are not run")
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

// TestSiteSpecificNamesAreFound checks that a site-specific name is found in each field, and that placeholders are
// allowed only in their own field.
func TestSiteSpecificNamesAreFound(t *testing.T) {
	for _, field := range []string{"zone", "to_zone", "region", "service", "class"} {
		t.Run(field, func(t *testing.T) {
			days, err := decodeDays([]byte(`faults = [{ at = 1.0, kind = "burst", ` + field + ` = "kigali" }]`))
			require.NoError(t, err)
			require.Len(t, days, 1)
			assert.Len(t, siteSpecificNames(days[0]), 1)
		})
	}
	t.Run("class that the day changes", func(t *testing.T) {
		days, err := decodeDays([]byte(`classes = [{ name = "lookup", retries = 3 }]`))
		require.NoError(t, err)
		require.Len(t, days, 1)
		assert.Equal(t, []string{"lookup"}, siteSpecificNames(days[0]))
	})
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
	t.Run("placeholders only", func(t *testing.T) {
		days, err := decodeDays([]byte(`faults = [{ kind = "burst", zone = "@z0", to_zone = "@z1", service = "@s0", class = "@c0" }]`))
		require.NoError(t, err)
		require.Len(t, days, 1)
		assert.Empty(t, siteSpecificNames(days[0]))
	})
}

// decodeDays decodes a file of days. It returns an error for unknown fields.
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

// assertPurpose asserts that the file starts with a comment that is not empty.
func assertPurpose(t *testing.T, data []byte) {
	t.Helper()
	first, _, _ := strings.Cut(string(data), "\n")
	purpose, commented := strings.CutPrefix(first, "# ")
	assert.True(t, commented, "the first line is not a comment: %q", first)
	assert.NotEmpty(t, strings.TrimSpace(purpose))
}

// assertFitsEverySite asserts that a day has a name and a slot, that all its events have a kind, and that it has no
// site-specific names.
func assertFitsEverySite(t *testing.T, d day) {
	t.Helper()
	assert.NotEmpty(t, d.Name)
	assert.NotEmpty(t, d.Slot)
	assert.Empty(t, siteSpecificNames(d))
	for _, event := range slices.Concat(d.Plan, d.Faults) {
		assert.NotEmpty(t, event.Kind)
	}
}

// siteSpecificNames returns the zones, regions, services and request classes that are not placeholders. A placeholder
// is the index of an item in the site file, such as @z0. There are none for regions.
func siteSpecificNames(d day) []string {
	var names []string
	check := func(name, prefix string) {
		if name != "" && !isPlaceholder(name, prefix) {
			names = append(names, name)
		}
	}
	for _, class := range d.Classes {
		check(class.Name, "@c")
	}
	for _, event := range slices.Concat(d.Plan, d.Faults) {
		check(event.Zone, "@z")
		check(event.ToZone, "@z")
		check(event.Service, "@s")
		check(event.Class, "@c")
		if event.Region != "" {
			names = append(names, event.Region)
		}
	}
	return names
}

// isPlaceholder reports whether a name is the prefix followed by a number.
func isPlaceholder(name, prefix string) bool {
	number, found := strings.CutPrefix(name, prefix)
	return found && number != "" && strings.Trim(number, "0123456789") == ""
}
