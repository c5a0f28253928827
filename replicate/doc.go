// Package replicate decides how the platform's objects get from a few watchers to every process: what a copy takes in,
// what it gives out, who watches, and who sends to whom. A copy only moves forward.
package replicate
