package cmd

import (
	"crypto/tls"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/certs"
	"github.com/rillreach/rillreach/settings"
)

func validateTLS(c *cli.Command, validator *settings.Validator) {
	set := 0
	for _, name := range []string{"tls-cert", "tls-key", "tls-ca"} {
		if c.String(name) != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		validator.Addf("tls-cert", "set all of --tls-cert, --tls-key and --tls-ca, or none")
	}
}

// newTLS returns the TLS configuration for connections to peers, or nil if no certificate is set.
func newTLS(c *cli.Command) (*tls.Config, error) {
	if c.String("tls-cert") == "" {
		return nil, nil
	}
	source := &certs.Source{Certificate: c.String("tls-cert"), Key: c.String("tls-key"), Authority: c.String("tls-ca")}
	return source.TLSConfig()
}
