// Package notify tells entries of changes in the object store, so that they call it when there is something new and not over and over.
//
// A few agents of each availability zone, the relays, watch the store. What they tell are revisions alone: each entry reads the objects from
// the store itself. One that hears nothing of the relays for a while watches the store as they do. It is without I/O.
package notify
