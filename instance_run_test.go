package rillreach

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestInstanceRunSupersedes(t *testing.T) {
	early, late := InstanceRun{ID: "a", Generation: 5}, InstanceRun{ID: "a", Generation: 6}
	for name, c := range map[string]struct {
		run, other InstanceRun
		want       bool
	}{
		"a later run supersedes an earlier one":         {late, early, true},
		"an earlier run does not supersede a later one": {early, late, false},
		"a run does not supersede itself":               {late, late, false},
		"an unknown generation supersedes nothing":      {InstanceRun{ID: "a"}, early, false},
		"an unknown generation is not superseded":       {late, InstanceRun{ID: "a"}, false},
		"runs of different instances are not compared":  {InstanceRun{ID: "b", Generation: 9}, early, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, c.run.Supersedes(c.other)) })
	}
}
