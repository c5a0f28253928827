package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
)

func TestSettingsPage(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, writeSettingsPage(&page))
	committed, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, page.String(), string(committed), "write docs/SETTINGS.md anew: rillreach settings doc")
}

// TestRowSchema holds the committed schema against the types: each field of the row is in it, and nothing else.
func TestRowSchema(t *testing.T) {
	data, err := os.ReadFile("../docs/row.schema.json")
	require.NoError(t, err)
	var schema struct {
		Items object `json:"items"`
	}
	require.NoError(t, json.Unmarshal(data, &schema))
	assertFields(t, reflect.TypeFor[rillreach.Row](), schema.Items)
	assertFields(t, reflect.TypeFor[rillreach.Weights](), schema.Items.Properties["weights"])
	assertFields(t, reflect.TypeFor[rillreach.Limits](), schema.Items.Properties["limits"])
}

type object struct {
	Properties map[string]object `json:"properties"`
}

func assertFields(t *testing.T, typ reflect.Type, schema object) {
	t.Helper()
	var fields []string
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields = append(fields, name)
		assert.Contains(t, schema.Properties, name)
	}
	assert.Len(t, schema.Properties, len(fields))
}
