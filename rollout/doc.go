// Package rollout decides how the requests of a service are divided between its current software version and the target
// version of a rollout, and when the rollout is completed or rolled back.
//
// Each entry decides for itself, from the time since the rollout was requested and from the answers that it has seen;
// the object store passes on the first decision to all others. The package does no I/O.
package rollout
