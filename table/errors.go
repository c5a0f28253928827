package table

import "github.com/cockroachdb/errors"

var errNameMismatch = errors.New("object name does not match the row's account/model/version")
