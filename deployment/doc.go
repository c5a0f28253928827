// Package deployment holds what a process knows of the site that it serves: the operators' configuration, the runners
// that are listed, a prompt's parts, and the settings of the process itself. It does no I/O and knows no wire names.
package deployment
