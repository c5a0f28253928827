// Package sidecar is the agent on the users' platform: it stands beside one model runner, brings it to the newest weights,
// and is for good the only one that gives it orders.
package sidecar
