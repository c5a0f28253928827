// Package notify tracks notices of changes in the object store, so that entries do not have to poll it.
//
// A few agents of each availability zone, the relays, watch the store and send notices to the entries. A notice
// contains only a revision: each entry reads the changed objects from the store itself. An entry that has not received
// a notice for some time watches the store directly. The package does no I/O.
package notify
