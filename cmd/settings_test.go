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

func TestSettingsPageMatchesFlags(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, writeSettingsPage(&page))
	committed, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, page.String(), string(committed), "docs/SETTINGS.md is out of date; regenerate it with: rillreach settings doc")
}

// TestRowSchemaMatchesTypes guards against a committed JSON schema that lacks fields of the row types or has other
// fields, after a change of only one of them.
func TestRowSchemaMatchesTypes(t *testing.T) {
	data, err := os.ReadFile("../docs/row.schema.json")
	require.NoError(t, err)
	var schema struct {
		Items schemaNode `json:"items"`
	}
	require.NoError(t, json.Unmarshal(data, &schema))
	assertSchemaFields(t, reflect.TypeFor[rillreach.Row](), schema.Items)
	assertSchemaFields(t, reflect.TypeFor[rillreach.Weights](), schema.Items.Properties["weights"])
	assertSchemaFields(t, reflect.TypeFor[rillreach.Limits](), schema.Items.Properties["limits"])
}

type schemaNode struct {
	Properties map[string]schemaNode `json:"properties"`
}

func assertSchemaFields(t *testing.T, typ reflect.Type, schema schemaNode) {
	t.Helper()
	var fields []string
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields = append(fields, name)
		assert.Contains(t, schema.Properties, name)
	}
	assert.Len(t, schema.Properties, len(fields))
}
