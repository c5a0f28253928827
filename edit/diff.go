package edit

import (
	"fmt"
	"reflect"

	"github.com/rillreach/rillreach"
)

// DescribeChanges describes each field in which the proposed row differs from the current one. If the row does not
// exist yet, it returns a single entry for the new row. Of credentials it shows only the count.
func DescribeChanges(current, proposed rillreach.Row, exists bool) []string {
	if !exists {
		return []string{"new row"}
	}
	current.Edit, proposed.Edit = "", ""
	var changes []string
	a, b := reflect.ValueOf(current), reflect.ValueOf(proposed)
	for i := range a.NumField() {
		before, after := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(before, after) || (a.Field(i).Kind() == reflect.Slice && a.Field(i).Len()+b.Field(i).Len() == 0) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("json")
		if name == "credentials" {
			changes = append(changes, fmt.Sprintf("credentials: %d before, %d after", a.Field(i).Len(), b.Field(i).Len()))
			continue
		}
		changes = append(changes, fmt.Sprintf("%s: %v -> %v", name, before, after))
	}
	return changes
}
