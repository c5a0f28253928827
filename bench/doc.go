// Package bench holds the bounds that the project's figures must keep, and the test that measures them anew. All of
// them are counts, bytes or shares in virtual time, so that they do not depend on the machine.
package bench
