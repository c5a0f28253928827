// Package cmd holds the command line, a file for each command.
package cmd
