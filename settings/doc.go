// Package settings holds the settings that come from flags and environment variables, and checks them together before
// anything starts.
package settings
