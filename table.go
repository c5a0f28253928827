package rillreach

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// RowFormat is the version of the row format that this release reads and writes.
const RowFormat = 1

// Objective is the measure that placement minimizes for a row's requests.
type Objective string

const (
	// ObjectiveFirstToken minimizes the time to first token.
	ObjectiveFirstToken Objective = "first-token"
	// ObjectiveRecompute minimizes the share of prompt tokens that are computed again.
	ObjectiveRecompute Objective = "recompute"
)

// Limits are the limits on a row's usage across the whole fleet. Zero means unlimited.
type Limits struct {
	RequestsPerSecond  float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	TokensPerMinute    int64   `json:"tokensPerMinute,omitempty" yaml:"tokensPerMinute,omitempty"`
	ConcurrentRequests int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty"`
	StoredBytes        int64   `json:"keptBytes,omitempty" yaml:"keptBytes,omitempty"`
}

// Check returns an error if a limit is negative.
func (l Limits) Check() error {
	if l.RequestsPerSecond < 0 || l.TokensPerMinute < 0 || l.ConcurrentRequests < 0 || l.StoredBytes < 0 {
		return errors.New("limits must not be negative")
	}
	return nil
}

// Row is the operators' configuration for a client account and a model version.
type Row struct {
	Format      int          `json:"format" yaml:"format"`
	Account     AccountID    `json:"account" yaml:"account"`
	Model       ModelID      `json:"model" yaml:"model"`
	Version     VersionID    `json:"version" yaml:"version"`
	Weights     Weights      `json:"weights" yaml:"weights"`
	Limits      Limits       `json:"limits" yaml:"limits"`
	Objective   Objective    `json:"objective" yaml:"objective"`
	Credentials []Credential `json:"credentials" yaml:"credentials"`
	// Edit identifies the edit that wrote the row. An editor whose write got no response uses it to tell whether the
	// row was written by itself or by somebody else.
	Edit string `json:"edit,omitempty" yaml:"edit,omitempty"`
}

// RowName returns the object name of the row for an account and a model version.
func RowName(account AccountID, model ModelID, version VersionID) string {
	return strings.Join([]string{string(account), string(model), string(version)}, "/")
}

// Name returns the object name of the row.
func (r Row) Name() string {
	return RowName(r.Account, r.Model, r.Version)
}

// Check returns an error if the row is not valid.
func (r Row) Check() error {
	checks := []func() error{
		r.checkFormat,
		func() error { return checkName("account", string(r.Account)) },
		func() error { return checkName("model", string(r.Model)) },
		func() error { return checkName("version", string(r.Version)) },
		r.Weights.Check,
		r.Limits.Check,
		r.checkObjective,
		r.checkCredentials,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return errors.Wrapf(err, "check row %s", r.Name())
		}
	}
	return nil
}

func (r Row) checkFormat() error {
	if r.Format != RowFormat {
		return errors.Newf("format %d is not %d", r.Format, RowFormat)
	}
	return nil
}

func (r Row) checkObjective() error {
	if r.Objective != ObjectiveFirstToken && r.Objective != ObjectiveRecompute {
		return errors.Newf("objective %q is neither %q nor %q", r.Objective, ObjectiveFirstToken, ObjectiveRecompute)
	}
	return nil
}

func (r Row) checkCredentials() error {
	for _, c := range r.Credentials {
		if err := c.Check(); err != nil {
			return err
		}
	}
	return nil
}

// DecodeRow decodes and checks a row in JSON. It returns an error if there are unknown fields.
func DecodeRow(data []byte) (Row, error) {
	var row Row
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&row); err != nil {
		return Row{}, errors.Wrap(err, "decode row")
	}
	if err := row.Check(); err != nil {
		return Row{}, err
	}
	return row, nil
}
