// Package controller runs the controllers that keep a daemon's state right.
package controller
