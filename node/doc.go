// Package node contains what processes of all roles have in common: the replica of the platform's objects, the known
// instances, the connections to peers, and the HTTP handler for operators.
package node
