package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/agent"
	"github.com/rillreach/rillreach/backend"
	"github.com/rillreach/rillreach/settings"
)

func newAgentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "stand beside one backend server and give it requests",
		Flags: append(nodeFlags(),
			stringFlag("backend", "", "address of the backend server"),
			stringFlag("side", string(rillreach.SideOld), "side of this instance: old or new"),
			stringFlag("model", "", "model that the backend server has loaded, if it is an engine"),
			stringFlag("model-version", "", "weight version that the engine has loaded"),
			stringFlag("service", "", "name of the plain service, if the backend server is one"),
			intFlag("slots", agent.DefaultSlots, "how many requests run at the backend server at once"),
			intFlag("max-waiting", agent.DefaultMaxWaiting, "how many requests wait at the most"),
		),
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, c *cli.Command) error {
	var validator settings.Validator
	common := validateNode(c, &validator)
	base := validator.ParseURL("backend", c.String("backend"))
	validator.OneOf("side", c.String("side"), string(rillreach.SideOld), string(rillreach.SideNew))
	validateBackend(c, &validator)
	validator.AtLeast("slots", int64(c.Int("slots")), 1)
	validator.AtLeast("max-waiting", int64(c.Int("max-waiting")), 0)
	if err := validator.Err(); err != nil {
		return exitError{error: err, code: ExitUsage}
	}
	n, err := newNode(c, common, agentInstance(c))
	if err != nil {
		return err
	}
	a := &agent.Agent{
		Node:       n,
		Secret:     []byte(c.String("secret")),
		Slots:      c.Int("slots"),
		MaxWaiting: c.Int("max-waiting"),
		Grace:      c.Duration("grace"),
	}
	setBackend(a, backend.Client{BaseURL: base, HTTP: backend.NewHTTPClient()}, c.String("service") == "")
	return runWithOperatorsServer(ctx, common.ops, n, a.Run)
}

func validateBackend(c *cli.Command, validator *settings.Validator) {
	engine, service := c.String("model") != "", c.String("service") != ""
	if engine == service {
		validator.Addf("model", "set just one of --model and --service")
	}
	if engine && c.String("model-version") == "" {
		validator.Addf("model-version", "is not set")
	}
}

func agentInstance(c *cli.Command) rillreach.Instance {
	self := rillreach.Instance{
		Role:    rillreach.RoleAgent,
		Side:    rillreach.Side(c.String("side")),
		Model:   rillreach.ModelID(c.String("model")),
		Service: rillreach.ServiceID(c.String("service")),
	}
	if self.Model != "" {
		self.Versions = []rillreach.VersionID{rillreach.VersionID(c.String("model-version"))}
	}
	return self
}

func setBackend(a *agent.Agent, client backend.Client, engine bool) {
	if engine {
		e := &backend.Engine{Client: client}
		a.Backend, a.Engine = e, e
		return
	}
	a.Backend = &client
}
