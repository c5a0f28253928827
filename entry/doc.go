// Package entry implements the HTTP server for callers. It passes each request through a chain of filters, and
// responds in the format of the OpenAI API.
package entry
