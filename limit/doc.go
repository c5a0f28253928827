// Package limit decides how much of a row's limits each entry may use. The limits are split into two parts with an
// owner each, chosen by hash among the entries, and a small static part without an owner. An owner leases its part to
// the entries that ask for it, for short times, and never leases out more than the part holds.
package limit
