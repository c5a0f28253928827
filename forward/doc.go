// Package forward sends one request over one connection to a runner and reads the answer. It sends every request once,
// keeps connections that are certainly clean, and says of each failure whether the request may have reached the runner.
package forward
