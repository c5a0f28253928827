// Package callerconn accepts the connections of callers and closes those that are idle or send the head of a request too
// slowly, within limits that may change while the process runs. At a shutdown it tells which requests have arrived and were
// not read yet.
package callerconn
