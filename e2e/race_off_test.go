//go:build !race

package e2e

var buildFlags []string
