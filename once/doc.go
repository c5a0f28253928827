// Package once decides which agent may run a request that must not run twice, and whether that agent may run it now.
//
// A ticket names the one incarnation that may run it. A caller's own key is a time-ordered UUID, and is owned for good
// by the owner in force at the time it carries; an epoch of owners is in force only from a time well after the platform
// has recorded it, so that whoever knows the platform's state up to some time knows every owner up to that time plus
// the lead. Neither needs a clock, a lease or a call to the platform to be safe.
package once
