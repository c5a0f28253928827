package rillreach

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// RowFormat is the version of the row format that this release reads and writes.
const RowFormat = 1

// Objective says which measure a row's requests are placed for.
type Objective string

const (
	// ObjectiveFirstToken places requests for the shortest time to first token.
	ObjectiveFirstToken Objective = "first-token"
	// ObjectiveRecompute places requests for the smallest share of prompt work recomputed.
	ObjectiveRecompute Objective = "recompute"
)

// Limits cap what one row's client account may use across the whole fleet; zero means no cap.
type Limits struct {
	RequestsPerSecond  float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	TokensPerMinute    int64   `json:"tokensPerMinute,omitempty" yaml:"tokensPerMinute,omitempty"`
	ConcurrentRequests int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty"`
	StoredBytes        int64   `json:"keptBytes,omitempty" yaml:"keptBytes,omitempty"`
}

// Check reports a negative limit.
func (l Limits) Check() error {
	if l.RequestsPerSecond < 0 || l.TokensPerMinute < 0 || l.ConcurrentRequests < 0 || l.StoredBytes < 0 {
		return errors.New("a limit is negative")
	}
	return nil
}

// Row is one line of the operators' table: a client account and a model version.
type Row struct {
	Format      int          `json:"format" yaml:"format"`
	Account     AccountID    `json:"account" yaml:"account"`
	Model       ModelID      `json:"model" yaml:"model"`
	Version     VersionID    `json:"version" yaml:"version"`
	Weights     Weights      `json:"weights" yaml:"weights"`
	Limits      Limits       `json:"limits" yaml:"limits"`
	Objective   Objective    `json:"objective" yaml:"objective"`
	Credentials []Credential `json:"credentials" yaml:"credentials"`
	// Edit is the identity of the edit that wrote the row; it tells a lost answer from a lost race.
	Edit string `json:"edit,omitempty" yaml:"edit,omitempty"`
}

// RowName is the object name of the row of an account and a model version.
func RowName(account AccountID, model ModelID, version VersionID) string {
	return strings.Join([]string{string(account), string(model), string(version)}, "/")
}

// Name is the object name of the row.
func (r Row) Name() string {
	return RowName(r.Account, r.Model, r.Version)
}

// Check reports the first fault of the row.
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

// DecodeRow reads a row from JSON, refuses unknown fields and checks the row.
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
