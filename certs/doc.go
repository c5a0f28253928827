// Package certs creates and loads the certificates with which the processes authenticate each other. Only certificates
// signed by the fleet's own certificate authority are trusted. The organizational unit of a certificate is the role of
// the process.
package certs
