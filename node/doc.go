// Package node holds what every process of the system has, whatever its role: its copy of the platform's objects, the
// known instances, the connections to peers, and the operators' address.
package node
