// Package fleet holds the messages that the system's processes send each other.
package fleet
