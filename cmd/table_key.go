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

// issuedKey is an API key and the credential that authenticates it.
type issuedKey struct {
	Key        string               `json:"key"`
	Credential rillreach.Credential `json:"credential"`
}

func runTableKeyNew(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return exitError{error: errors.New("expected exactly one account as argument"), code: ExitUsage}
	}
	key, credential, err := rillreach.NewAPIKey(rillreach.AccountID(c.Args().First()))
	if err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	return errors.Wrap(json.NewEncoder(c.Root().Writer).Encode(issuedKey{Key: key, Credential: credential}), "write key")
}
