// Package standin contains small stand-ins for external systems, for tests and the demo.
package standin
