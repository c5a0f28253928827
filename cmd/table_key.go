package cmd

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
)

func newTableKey() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make keys for client accounts",
		Commands: []*cli.Command{{
			Name:      "new",
			Usage:     "make a key for an account, and the credential that belongs into its rows",
			ArgsUsage: "account",
			Action:    runTableKeyNew,
		}},
	}
}

// newKey is a key and the credential that recognises it.
type newKey struct {
	Key        string               `json:"key"`
	Credential rillreach.Credential `json:"credential"`
}

func runTableKeyNew(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return codedError{error: errors.New("give one account"), code: ExitUsage}
	}
	key, credential, err := rillreach.NewAPIKey(rillreach.AccountID(c.Args().First()))
	if err != nil {
		return codedError{error: err, code: ExitUsage}
	}
	return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(newKey{Key: key, Credential: credential}), "write key")
}
