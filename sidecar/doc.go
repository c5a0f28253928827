// Package sidecar implements the agent that runs next to a model runner on the users' platform. The agent has the
// runner load the desired weights, and is the only process that ever sends it orders. It reports the state of the
// runner and of the cache stores that it owns to the entries.
package sidecar
