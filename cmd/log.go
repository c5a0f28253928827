package cmd

import (
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/settings"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}

func validateLog(c *cli.Command, validator *settings.Validator) {
	validator.OneOf("log-level", c.String("log-level"), "debug", "info", "error")
	validator.OneOf("log-format", c.String("log-format"), "json", "console")
}

// newLog returns a logger with the configured level and format that writes to standard error.
func newLog(c *cli.Command) logr.Logger {
	options := &slog.HandlerOptions{Level: logLevels[c.String("log-level")]}
	if c.String("log-format") == "console" {
		return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, options))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, options))
}
