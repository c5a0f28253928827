// Package backend is an HTTP client of backend servers, which are model engines or plain services.
package backend
