package table

import "github.com/cockroachdb/errors"

var errBadName = errors.New("object's name is not the row's account/model/version")
