// Package forward sends HTTP requests to runners and reads the responses. It sends each request at most once, reuses
// only connections without unread or unexpected data, and reports with each error whether the request may have reached
// the runner.
package forward
