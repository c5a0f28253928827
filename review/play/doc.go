// Package play is for the tests of the review alone: they start the project's own programs as on the users' platform, beside
// stand-ins for its store, runners and callers, and check one rule of the users' pages each. They are built with the tag review
// only. The test binary plays one of them if it is called with the name of the play and a folder for its record.
package play
