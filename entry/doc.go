// Package entry is the callers' side: it takes requests over HTTP, runs each through the filter chain, and answers in
// the form that callers of OpenAI's interface expect.
package entry
