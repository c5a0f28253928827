// Command rillreach serves language-model prompts that return after long gaps.
package main

import (
	"os"

	"github.com/rillreach/rillreach/cmd"
)

// version is set by the linker for a release.
var version = "dev"

func main() {
	os.Exit(cmd.Execute(version, os.Args))
}
