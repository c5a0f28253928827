// Package demo runs the whole system in one process over loopback, with stand-ins for external systems. It is for
// trying out the system and for measurements.
package demo
