// Package agent implements the process beside each backend server. It receives requests from entries, schedules them
// fairly, enforces at-most-once execution, and relays the responses.
package agent
