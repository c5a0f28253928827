// Package poison keeps account of the requests under which runners have ended, so that one which ends each runner that begins it is
// held back after a few. It does no input or output, and takes the time from whoever calls it.
package poison
