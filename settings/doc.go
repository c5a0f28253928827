// Package settings validates settings from flags and environment variables. All problems are collected and reported
// together before the process starts.
package settings
