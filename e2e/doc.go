// Package e2e holds the tests that run the system as separate processes.
package e2e
