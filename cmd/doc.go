// Package cmd implements the command line interface.
package cmd
