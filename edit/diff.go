package edit

import (
	"fmt"
	"reflect"

	"github.com/rillreach/rillreach"
)

// DescribeChanges says in words how a row differs from the one that is there.
func DescribeChanges(there, row rillreach.Row, exists bool) []string {
	if !exists {
		return []string{"new row"}
	}
	there.Edit, row.Edit = "", ""
	var changes []string
	a, b := reflect.ValueOf(there), reflect.ValueOf(row)
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
