// Package fleet defines the messages that the processes of a fleet exchange.
package fleet
