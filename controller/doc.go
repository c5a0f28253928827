// Package controller runs a daemon's controllers, the loops that keep its state current.
package controller
