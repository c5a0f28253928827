// Package replica keeps a process's copy of the objects in the platform's object store.
//
// In a small deployment each process reads the store itself. In a large one, a few agents of each availability zone, the
// relays, do, and all others subscribe to one of them. A process finds the relays by the runners' records: those whose
// identifiers come first are asked first, so that the first page of the list suffices. An agent becomes a relay when it
// is asked, so that no election is needed.
package replica
