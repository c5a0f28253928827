// Package standin holds small stand-ins for the outside systems, for tests and for trying the system out.
package standin
