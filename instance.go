package rillreach

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// Role is the kind of process that an instance runs.
type Role string

const (
	// RoleEntry is a process that receives requests from callers.
	RoleEntry Role = "entry"
	// RoleAgent is a process that runs next to a backend server and sends requests to it.
	RoleAgent Role = "agent"
	// RoleStore is a process that stores blocks in memory and on disk.
	RoleStore Role = "store"
)

// Instance is an entry in the platform's list of running instances. Leaving means that the instance is shutting down.
type Instance struct {
	ID          InstanceID     `json:"id" cbor:"1,keyasint"`
	Role        Role           `json:"role" cbor:"2,keyasint"`
	Incarnation Incarnation    `json:"incarnation" cbor:"3,keyasint"`
	Address     netip.AddrPort `json:"address" cbor:"4,keyasint"`
	Zone        ZoneID         `json:"zone" cbor:"5,keyasint"`
	Side        Side           `json:"side" cbor:"6,keyasint"`
	Model       ModelID        `json:"model,omitempty" cbor:"7,keyasint,omitempty"`
	Versions    []VersionID    `json:"versions,omitempty" cbor:"8,keyasint,omitempty"`
	Service     ServiceID      `json:"service,omitempty" cbor:"9,keyasint,omitempty"`
	Leaving     bool           `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
}

// Serves reports whether the instance is an agent of an engine that has the model version loaded.
func (i Instance) Serves(model ModelID, version VersionID) bool {
	return i.Role == RoleAgent && i.Model == model && slices.Contains(i.Versions, version)
}

// Check returns an error if the instance is not valid.
func (i Instance) Check() error {
	if err := checkName("instance", string(i.ID)); err != nil {
		return err
	}
	if i.Incarnation == "" {
		return errors.Newf("instance %s has no incarnation", i.ID)
	}
	if !i.Address.IsValid() {
		return errors.Newf("instance %s has no address", i.ID)
	}
	if i.Role == RoleEntry {
		return nil
	}
	return errors.Wrapf(i.Side.Check(), "instance %s", i.ID)
}

// DecodeInstance decodes and checks an instance in JSON.
func DecodeInstance(data []byte) (Instance, error) {
	var instance Instance
	if err := json.Unmarshal(data, &instance); err != nil {
		return Instance{}, errors.Wrap(err, "decode instance")
	}
	if err := instance.Check(); err != nil {
		return Instance{}, err
	}
	return instance, nil
}
