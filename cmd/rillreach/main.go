// Command rillreach serves language-model prompts that recur after long gaps. It contains the daemons and the tools for
// operators.
package main

import (
	"os"

	"github.com/rillreach/rillreach/cmd"
)

// version is set by the linker in release builds.
var version = "dev"

func main() {
	os.Exit(cmd.Execute(version, os.Args))
}
