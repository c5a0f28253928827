package cmd

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach/settings"
)

// envVarSource returns the environment variable that sets a flag.
func envVarSource(name string) cli.ValueSourceChain {
	return cli.EnvVars(settings.EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envVarSource(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envVarSource(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envVarSource(name)}
}

// logFlags returns the flags for the log level and format.
func logFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("log-level", "info", "least level that is logged: debug, info or error"),
		stringFlag("log-format", "json", "form of the log: json or console"),
	}
}

// nodeFlags returns the flags that entries and agents have in common.
func nodeFlags() []cli.Flag {
	return append(logFlags(),
		stringFlag("platform", "http://127.0.0.1:7000", "address of the platform's object API"),
		stringFlag("instance", "", "identifier of this instance; made up when it is not set"),
		stringFlag("zone", "local", "availability zone of this instance"),
		stringFlag("peer-listen", "127.0.0.1:0", "address for the connections of peers, which is also announced to them"),
		stringFlag("ops-listen", "127.0.0.1:0", "address for operators: health, readiness, metrics, status"),
		stringFlag("secret", "", "secret of the whole fleet, at least 16 characters"),
		stringFlag("tls-cert", "", "certificate for peers, as PEM or the path of a PEM file"),
		stringFlag("tls-key", "", "key of the certificate, as PEM or the path of a PEM file"),
		stringFlag("tls-ca", "", "certificate of the fleet's authority, as PEM or the path of a PEM file"),
		durationFlag("owner-lead", defaultOwnerLead, "how long after its recording an epoch of key owners comes into force; the same in the whole fleet"),
		durationFlag("digest-every", defaultDigestInterval, "how often marks are compared with a peer"),
		durationFlag("watch-wait", defaultWatchWait, "how long one watch of the platform waits for a change"),
		durationFlag("grace", defaultGrace, "how long a planned stop waits for running requests"),
	)
}
