// Package certs makes and loads the certificates by which the system's processes know each other. A certificate's
// organizational unit is the role it was made for; the fleet's own authority is all that vouches for it.
package certs
