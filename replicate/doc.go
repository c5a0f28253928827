// Package replicate decides how the platform's objects are replicated from a few watchers to every process: how a
// replica merges and produces deltas, which processes watch the platform, and which processes send to which. A
// replica never goes back to an older version.
package replicate
