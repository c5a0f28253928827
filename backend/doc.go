// Package backend does calls to backend servers over HTTP: to model engines and to plain services.
package backend
