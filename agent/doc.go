// Package agent is the process in the slot beside a backend server: it takes requests from entries, puts them in
// order, is the gate for what must not run twice, and passes answers back.
package agent
