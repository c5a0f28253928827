package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/certs"
)

const (
	defaultLifetime = 30 * 24 * time.Hour
	fileMode        = 0o600
)

func newCertsCommand() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "make an authority, and a certificate for each role, for trying the system out",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Value: ".", Usage: "folder to write them to; nothing that is there is overwritten"},
			&cli.DurationFlag{Name: "lifetime", Value: defaultLifetime, Usage: "how long they last"},
		},
		Action: runCerts,
	}
}

func runCerts(_ context.Context, c *cli.Command) error {
	lifetime := c.Duration("lifetime")
	authority, err := certs.NewAuthority(lifetime)
	if err != nil {
		return err
	}
	if err := writePair(c, "ca", authority.KeyPair); err != nil {
		return err
	}
	for _, role := range []rillreach.Role{rillreach.RoleEntry, rillreach.RoleAgent} {
		pair, err := authority.Issue(role, lifetime)
		if err != nil {
			return err
		}
		if err := writePair(c, string(role), pair); err != nil {
			return err
		}
	}
	return nil
}

func writePair(c *cli.Command, name string, pair certs.KeyPair) error {
	for file, data := range map[string][]byte{name + ".pem": pair.Certificate, name + "-key.pem": pair.Key} {
		path := filepath.Join(c.String("dir"), file)
		if err := writeNewFile(path, data); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer, path)
	}
	return nil
}

func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Wrap(err, "write certificate")
	}
	defer file.Close()
	_, err = file.Write(data)
	return errors.Wrapf(err, "write %s", path)
}
