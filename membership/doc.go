// Package membership decides which instances can be used. It combines the platform's instance list, which lags, with
// what instances announce about themselves and with failures that requests run into.
package membership
