// Package queue decides in which order an agent sends requests to its backend server. It shares the backend server
// among client accounts by start-time fair queueing over the cost of their requests, and refuses a request at once if
// it cannot start before its deadline.
package queue
