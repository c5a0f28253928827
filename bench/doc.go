// Package bench holds upper bounds for the project's performance figures, and the test that measures the figures. All
// of them are counts, bytes, or shares and times in virtual time, so they do not depend on the machine.
package bench
