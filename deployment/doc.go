// Package deployment defines the data model of a deployment: the operators' configuration, the registered runners and
// their load, the parts of a prompt, and the settings of the process itself. It does no I/O and has no wire format.
package deployment
